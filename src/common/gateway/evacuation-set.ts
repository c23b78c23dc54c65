import type {EvacuationList} from './evacuation-list.js';
import type {EvacuationOrder} from './evacuation-order.js';

/** The evacuated failure domains as instances hold and exchange them. */
export type EvacuationSet = EvacuationList & EvacuationOrder & {
	/** Domains that a restored registry has lost, with the time for which they stay evacuated, in ms. */
	readonly retained?: ReadonlyArray<{readonly domain: string; readonly leftMs: number}>;
};
