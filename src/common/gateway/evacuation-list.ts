import type {StorePosition} from './store-position.js';

/** The evacuated failure domains as read from the registry, with the state in which they were read. */
export type EvacuationList = StorePosition & {
	readonly domains: readonly string[];
};
