/** The gateway instances that a caller should connect to. */
export type ResolveResponse = {
	/** Addresses as host:port. */
	readonly addresses: readonly string[];
	/** Time for which callers may cache the addresses, in ms. */
	readonly lifetimeMs: number;
};
