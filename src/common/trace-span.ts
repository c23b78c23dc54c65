/** A span of a trace; a span that is not recorded only propagates the trace context. */
export type TraceSpan = {
	/** False when the trace is not sampled. */
	readonly isRecorded: boolean;
	/** W3C trace context headers for the next hop, as alternating names and values. */
	readonly headers: readonly string[];
	/** Starts a child span. */
	startChild(name: string): TraceSpan;
	setField(name: string, value: string | number | boolean): void;
	/** Ends the span; an error kind marks it as failed. */
	end(errorKind?: string): void;
};
