/** A span of a trace, for the filters; a span that is not recorded only passes the trace context on. */
export type TraceSpan = {
	/** False when the sampling decision was against this trace. */
	readonly isRecorded: boolean;
	/** W3C trace context headers for the next hop, names and values in turn. */
	readonly headers: readonly string[];
	/** Starts a span below this one. */
	startChild(name: string): TraceSpan;
	setField(name: string, value: string | number | boolean): void;
	/** Ends the span; an error kind marks it failed. */
	end(errorKind?: string): void;
};
