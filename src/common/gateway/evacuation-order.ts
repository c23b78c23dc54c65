import type {StorePosition} from './store-position.js';

/** What orders sets of evacuations: the generation, then the era, then the revision. */
export type EvacuationOrder = StorePosition & {
	/** Number of times that a set was accepted although the registry's answers were older than the one held: that one was wrong, or the registry tells no era. */
	readonly generation: number;
};
