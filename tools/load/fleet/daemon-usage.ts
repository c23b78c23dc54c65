/** Mean resource usage per instance over an interval, and platform usage of all instances. */
export type DaemonUsage = {
	/** Processor time, in percent of one core. */
	readonly cpuPercent: number;
	/** Resident memory at the end of the interval, in MB (1024 * 1024 bytes). */
	readonly residentMb: number;
	/** Bytes read and written, mostly on sockets and without TCP/IP headers, in KB (1000 bytes) per second. */
	readonly kilobytesPerSecond: number;
	/** Calls to the platform per second, summed over all instances. */
	readonly platformCallsPerSecond: number;
	/** Watches open at the platform, summed over all instances. */
	readonly watches: number;
};
