/** An injected fault, to which failed requests are attributed; times are wall-clock times in ms. */
export type FaultWindow = {
	readonly kind: string;
	/** Affected target id, instance id or instance address; empty for faults that affect several. */
	readonly subject: string;
	readonly startedAt: number;
	endedAt: number;
};
