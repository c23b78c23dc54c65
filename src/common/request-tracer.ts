import type {TraceSpan} from './trace-span.js';

/** Starts the trace spans of requests. */
export type RequestTracer = {
	/**
	Starts the span of a request at this hop.
	@param traceParent - Header `traceparent` of the request, if any; a malformed value starts a new trace.
	@param traceState - Header `tracestate` of the request, if any; forwarded when the parent is valid.
	*/
	startRequest(traceParent: string | undefined, traceState: string | undefined): TraceSpan;
};
