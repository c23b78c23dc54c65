/** A fault that was injected, for the attribution of what callers saw; times are wall-clock times in ms. */
export type FaultWindow = {
	readonly kind: string;
	/** Target or entry address concerned; empty for faults of more than one. */
	readonly subject: string;
	readonly startedAt: number;
	endedAt: number;
};
