/** A health check of a target. */
export type ProbeRequest = {
	readonly path: string;
	/** Value of the Host header. */
	readonly host: string;
	/** Time for the whole exchange, in ms; after it the connection is closed. */
	readonly timeoutMs: number;
	/** Whether a response with these headers (alternating names and values) belongs to a health check. */
	readonly isProbeResponse: (rawHeaders: readonly string[]) => boolean;
};
