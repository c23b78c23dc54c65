/** What a stand-in target counted. */
export type TargetFigures = {
	readonly target: string;
	/** Requests that took a slot. */
	readonly runs: number;
	/** Time for which slots were taken, in ms. */
	readonly busyMs: number;
	/** Calls of the load and health endpoints, by wall-clock second. */
	readonly probesBySecond: ReadonlyArray<readonly [number, number]>;
	/** Bytes of these calls and their answers, headers included. */
	readonly probeBytes: number;
	/** Time spent on these calls, in ms. */
	readonly probeMs: number;
	/** Open connections now. */
	readonly connections: number;
	/** Most open connections at one time. */
	readonly peakConnections: number;
};
