/** How the use of a slot ended; the scheduler updates its estimate of the target accordingly. */
export enum ExchangeEnd {
	/** The response was received completely. */
	Answered = 'answered',
	/** The target refused and proved that it did not run the request. */
	Refused = 'refused',
	/** The target responded with a server error. */
	Failed = 'failed',
	/** No connection could be opened. */
	ConnectFailed = 'connect-failed',
	/** The connection was lost or the response was truncated. */
	Lost = 'lost',
	/** The deadline expired or the caller disconnected while the target processed the request. */
	Cancelled = 'cancelled',
	/** The slot was not used. */
	Unused = 'unused',
}
