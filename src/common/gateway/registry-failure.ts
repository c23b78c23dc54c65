/** Reason for which a read from the registry failed. */
export enum RegistryFailure {
	/** No connection, a connection reset or a timeout. */
	Unreachable = 'unreachable',
	/** The registry rejected the request. */
	Refused = 'refused',
	/** The registry no longer holds the changes since the requested revision. */
	HistoryLost = 'history-lost',
	/** The response or the value in it cannot be parsed. */
	Unreadable = 'unreadable',
}
