import type {RegistryFailure} from './registry-failure.js';

/** Failure of a read from the registry. */
export type RegistryError = {
	readonly failure: RegistryFailure;
	/** Description of the failure, with the names and values involved. */
	readonly detail: string;
};
