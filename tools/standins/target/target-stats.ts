/** Statistics of a stand-in target since its start. Sent between processes. */
export type TargetStats = {
	/** Id of the target. */
	readonly target: string;
	/** Number of requests that held a slot, counted when they end. */
	readonly runs: number;
	/** Total time for which slots were held, in ms. */
	readonly busyMs: number;
	/** Wall-clock times of the calls to the load and health endpoints (probes), in ms. */
	readonly probeTimes: readonly number[];
	/** Estimated bytes of the probes and their responses, headers included. */
	readonly probeBytes: number;
	/** Processing time of the probes, in ms. */
	readonly probeMs: number;
	/** Number of open connections. */
	readonly connections: number;
	/** Largest number of connections open at one time. */
	readonly peakConnections: number;
};
