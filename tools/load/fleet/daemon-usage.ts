/** What the daemons of a fleet used over a time, a daemon. */
export type DaemonUsage = {
	/** Processor time, in percent of a core. */
	readonly cpuPercent: number;
	/** Resident memory at the end, in MB. */
	readonly residentMb: number;
	/** Bytes read and written, mostly at sockets and without their headers, in KB a second. */
	readonly kilobytesPerSecond: number;
	/** Calls of the configuration service a second, over all daemons. */
	readonly platformCallsPerSecond: number;
	/** Watches that wait at the configuration service, over all daemons. */
	readonly watches: number;
};
