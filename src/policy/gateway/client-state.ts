/** What a connection of a client holds and whether it makes progress. */
export type ClientState = {
	/** Memory that the connection holds, in bytes. */
	readonly heldBytes: number;
	/** Number of checks in a row in which the client neither sent nor read enough; 0 while an instance or target works for it. */
	readonly stalledChecks: number;
	/** Whether the connection waits for a next request after earlier ones. */
	readonly isIdle: boolean;
};
