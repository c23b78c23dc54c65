/** Resource usage of a process. */
export type ProcessUsage = {
	/** Processor time of all running threads since their start, in ms. */
	readonly cpuMs: number;
	/** Current resident memory, in bytes. */
	readonly residentBytes: number;
};
