import type {PlacementRequest} from './placement-request.js';

/** A request that may be hedged while its first attempt is in progress. */
export type HedgeRequest = {
	/** Places the hedge; its signal is aborted when the request has ended, and its excluded targets are those that were tried. */
	readonly placement: PlacementRequest;
	/** Objective of the route, in ms. */
	readonly objectiveMs: number;
	/** Time at which the first attempt got a slot, in ms; undefined while it waits for one. */
	placedAt: number | undefined;
	/** Time after which the first attempt counts as slow, in ms. */
	delayMs: number;
};
