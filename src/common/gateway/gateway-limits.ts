/** Bounds on what a caller may send, and how slowly. */
export type GatewayLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Time for the head of a request to arrive, in ms. */
	readonly headersTimeoutMs: number;
	/** Time after which an idle connection of a caller is closed, in ms. */
	readonly idleTimeoutMs: number;
};
