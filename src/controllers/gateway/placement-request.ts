import type {TargetCriteria} from './target-criteria.js';

/** A request to be placed at a target, with the limits within which it has to be served. */
export type PlacementRequest = TargetCriteria & {
	readonly service: string;
	/** Rank among the routes of the service; 0 is the highest priority. */
	readonly priority: number;
	/** Latency objective: time by which the response should be complete, on the instance's clock, in ms. */
	readonly objectiveAt: number;
	/** Time by which the response must be complete, on the instance's clock, in ms. */
	readonly deadlineAt: number;
	/** Cancels the wait when it aborts; its reason is a RequestError. */
	readonly signal: AbortSignal;
};
