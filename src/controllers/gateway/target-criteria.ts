/** What limits the choice of a target for a request. */
export type TargetCriteria = {
	/** Ids of targets that must not be chosen, since they have had an attempt of the request. */
	readonly excludedTargets: readonly string[];
	/** Size of the request body, in bytes. */
	readonly bodyBytes: number;
};
