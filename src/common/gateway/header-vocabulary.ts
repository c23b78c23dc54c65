/** Names of the headers that a site uses between callers, gateways and targets, in lower case. */
export type HeaderVocabulary = {
	/** Carries the id of one attempt of a caller; targets echo it. */
	readonly requestId: string;
	/** Carries the time left for the request, in ms. */
	readonly timeoutMs: string;
	/** Present on every answer that a target made itself. */
	readonly signature: string;
	/** Names the only target that may run the request. */
	readonly expectedTarget: string;
	/** Names the target that answers a health check. */
	readonly targetId: string;
	/** Carries a target's load report. */
	readonly load: string;
	/** Present on an answer that proves that the target did not run the request. */
	readonly notRun: string;
};
