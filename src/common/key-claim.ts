/** Asks leave to run the request of an idempotency key. */
export type KeyClaim = {
	readonly service: string;
	readonly key: string;
	/** Tells apart requests that wrongly share a key. */
	readonly fingerprint: string;
	/** Unique for each claim. */
	readonly claimId: string;
	/** Instance that runs the request. */
	readonly holder: string;
	/** Time since the caller first sent the request, in ms, as the caller states it; undefined for a first try. */
	readonly firstSentAgoMs: number | undefined;
	/** Time for which the key is remembered, in ms. */
	readonly memoryMs: number;
};
