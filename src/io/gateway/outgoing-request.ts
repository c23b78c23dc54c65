/** A request to a target, whole. */
export type OutgoingRequest = {
	readonly method: string;
	readonly path: string;
	/** Names and values in turn, without hop-by-hop headers and framing. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
	/** Ends the exchange and closes its connection, which cancels the request at the target. */
	readonly signal: AbortSignal;
};
