/** Asks an owner of an idempotency key for permission to run the request. */
export type KeyClaim = {
	readonly service: string;
	readonly key: string;
	/** Hash of parts of the request head; detects different requests with the same key. */
	readonly fingerprint: string;
	/** Unique id of the claim. */
	readonly claimId: string;
	/** Instance that runs the request. */
	readonly holder: string;
	/** Time since the caller first sent the request, in ms, as stated by the caller; undefined when it sends the request for the first time. */
	readonly firstSentAgoMs: number | undefined;
	/** Retention period of the key, in ms. */
	readonly memoryMs: number;
};
