/** A request that wants a target. */
export type PlacementDemand = {
	readonly service: string;
	/** Rank among the routes of the service; 0 is the most urgent. */
	readonly priority: number;
	/** Time within which an answer is worth most, on the instance's clock, in ms. */
	readonly objectiveAt: number;
	/** Time by which the answer must be whole, in ms. */
	readonly deadlineAt: number;
	/** Targets not to use again. */
	readonly excludedTargets: readonly string[];
	/** Ends the wait; its reason is a request error. */
	readonly signal: AbortSignal;
};
