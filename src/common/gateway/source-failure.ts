/** Why a read of the site's registry gave no value. */
export enum SourceFailure {
	/** No connection, a reset or no answer in time. */
	Unreachable = 'unreachable',
	/** The registry turned the call away. */
	Refused = 'refused',
	/** The changes since the revision asked for are no longer known. */
	HistoryLost = 'history-lost',
	/** The answer or the value in it cannot be read. */
	Unreadable = 'unreadable',
}
