/** Names of the HTTP headers that the load balancer reads or writes, in lower case. */
export enum HeaderName {
	/** Remaining time for which the caller waits, in ms. */
	Timeout = 'x-request-timeout-ms',
	/** Outcome of a request to which the load balancer itself responded. */
	Outcome = 'rattansill-outcome',
	/** Key that identifies a request when the caller sends it again. */
	IdempotencyKey = 'idempotency-key',
	/** Present when the caller sends a request again: time since it first sent the request, in ms. */
	FirstSentAgo = 'rattansill-first-sent-ms-ago',
	/** Present when the response is the stored one of an earlier request with the same key. */
	Replayed = 'rattansill-replayed',
	/** W3C trace context. */
	TraceParent = 'traceparent',
	/** Vendor-specific part of the W3C trace context. */
	TraceState = 'tracestate',
	/** Number of the attempt, absent on the first one; hops further downstream do not retry such a request. */
	Attempt = 'rattansill-attempt',
	/** Present on failures that the hop closest to the failure has already retried as often as allowed. */
	Retried = 'rattansill-retried',
	/** Load report on a response, in the text format of ORCA. */
	LoadReport = 'endpoint-load-metrics',
}
