import type {EvacuationOrder} from './evacuation-order.js';

/** Version and age of the set of evacuations that an instance holds. */
export type EvacuationVersion = EvacuationOrder & {
	/** Time since the set was last confirmed to be the newest in the registry, in ms. */
	readonly ageMs: number;
};
