/** A caller's question which instances to connect to. */
export type EntryQuestion = {
	/** Host name of the requests. */
	readonly host: string;
	/** Failure domain of the caller; empty when not told. */
	readonly failureDomain: string;
};
