/** What a process has used. */
export type ProcessUsage = {
	/** Processor time of all threads since the start, in ms. */
	readonly cpuMs: number;
	/** Resident memory now, in bytes. */
	readonly residentBytes: number;
};
