/** Which instances a caller should connect to. */
export type EntryAnswer = {
	/** Addresses as host:port. */
	readonly addresses: readonly string[];
	/** Time for which the answer holds, in ms. */
	readonly lifetimeMs: number;
};
