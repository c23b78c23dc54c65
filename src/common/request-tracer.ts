import type {TraceSpan} from './trace-span.js';

/** Starts the span of a request at this hop. */
export type RequestTracer = {
	/**
	@param traceParent - Header of the caller, if any; a malformed one starts a new trace.
	@param traceState - Header of the caller, if any; passed on with a valid parent.
	*/
	startRequest(traceParent: string | undefined, traceState: string | undefined): TraceSpan;
};
