/** Names of the HTTP headers that the system reads or writes, in lower case. */
export enum HeaderName {
	/** Time that the caller still waits, in ms. */
	Timeout = 'x-request-timeout-ms',
	/** Outcome of a request that the system itself answered. */
	Outcome = 'rattansill-outcome',
	/** Key by which a caller marks resends of one request. */
	IdempotencyKey = 'idempotency-key',
	/** Marks a resend: time since the caller first sent the request, in ms. */
	FirstSentAgo = 'rattansill-first-sent-ms-ago',
	/** Says that an answer is the one of an earlier try. */
	Replayed = 'rattansill-replayed',
	/** W3C trace context. */
	TraceParent = 'traceparent',
	/** Vendors' part of the W3C trace context. */
	TraceState = 'tracestate',
	/** Number of the try, on requests after the first; the hops behind do not retry these. */
	Attempt = 'rattansill-attempt',
	/** On failures: the hop nearest the failure has tried again as far as it may. */
	Retried = 'rattansill-retried',
	/** Load report that rides on an answer, in the text format of ORCA. */
	LoadReport = 'endpoint-load-metrics',
}
