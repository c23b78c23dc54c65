import type {StorePosition} from './store-position.js';

/** Result of a wait for changes by operators. */
export type OperatorChanges = {
	/** Whether the configuration has to be read. */
	readonly hasConfiguration: boolean;
	/** Whether the evacuations have to be read. */
	readonly hasEvacuations: boolean;
	/** State of the registry up to which the changes are complete. */
	readonly upTo: StorePosition;
};
