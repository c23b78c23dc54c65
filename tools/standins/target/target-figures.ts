/** What a stand-in target counted. */
export type TargetFigures = {
	readonly target: string;
	/** Requests that took a slot. */
	readonly runs: number;
	/** Time for which slots were taken, in ms. */
	readonly busyMs: number;
	/** Wall-clock times of the calls of the load and health endpoints, in ms. */
	readonly probeTimes: readonly number[];
	/** Bytes of these calls and their answers, headers included. */
	readonly probeBytes: number;
	/** Time spent on these calls, in ms. */
	readonly probeMs: number;
	/** Open connections now. */
	readonly connections: number;
	/** Most open connections at one time. */
	readonly peakConnections: number;
};
