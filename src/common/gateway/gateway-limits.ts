/** Size and time limits for the requests of callers. */
export type GatewayLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Time within which all headers of a request must arrive, in ms. */
	readonly headersTimeoutMs: number;
	/** Time after which an idle caller connection is closed, in ms. */
	readonly idleTimeoutMs: number;
};
