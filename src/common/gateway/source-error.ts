import type {SourceFailure} from './source-failure.js';

/** Failure of a read from the registry. */
export type SourceError = {
	readonly failure: SourceFailure;
	/** Description of the failure, with the names and values involved. */
	readonly detail: string;
};
