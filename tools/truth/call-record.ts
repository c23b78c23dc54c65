/** One request as its caller observed it; the counterpart of the target's `RunRecord`. */
export type CallRecord = {
	readonly requestId: string;
	readonly method: string;
	/** Status of the response; 0 when none was received. */
	readonly status: number;
	/** Outcome in the system's own error response; undefined for a target's response. */
	readonly outcome: string | undefined;
	/** Request id in the response body; detects a response that belongs to another request. */
	readonly responseRequestId: string | undefined;
	/** Address of the entry instance, as host and port. */
	readonly entry: string;
	/** Message of the transport error; undefined when a response was received. */
	readonly error: string | undefined;
	/** Error kind in the system's own error response; undefined for a target's response. */
	readonly kind: string | undefined;
	/** Wall-clock time in ms, as is `endedAt`. */
	readonly sentAt: number;
	readonly endedAt: number;
};
