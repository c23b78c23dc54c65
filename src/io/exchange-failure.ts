/** Failure of an HTTP exchange before a response head was received. */
export type ExchangeFailure = {
	readonly cause: Error;
	/** False only when it is certain that no byte of the request was written. */
	readonly isWritten: boolean;
};
