import type {EvacuationOrder} from './evacuation-order.js';

/** The failure domains that were evacuated at one revision of the registry. */
export type EvacuationSet = EvacuationOrder & {
	readonly domains: readonly string[];
	/** Domains that a restored registry has lost, with the time for which they stay evacuated, in ms. */
	readonly retained?: ReadonlyArray<{readonly domain: string; readonly leftMs: number}>;
};
