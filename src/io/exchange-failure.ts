/** An exchange that ended without the head of an answer. */
export type ExchangeFailure = {
	readonly cause: Error;
	/** False only when it is certain that no byte of the request was written. */
	readonly isWritten: boolean;
};
