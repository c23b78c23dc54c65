/** How the use of a slot ended, for what the scheduler learns of the target. */
export enum ExchangeEnd {
	/** A whole answer. */
	Answered = 'answered',
	/** The target refused and proved that it did not run the request. */
	Refused = 'refused',
	/** The target answered with a server error. */
	Failed = 'failed',
	/** No connection could be opened. */
	ConnectFailed = 'connect-failed',
	/** The connection was lost or the answer cut. */
	Lost = 'lost',
	/** The deadline expired or the caller left while the target worked. */
	Cancelled = 'cancelled',
	/** The slot was not used. */
	Unused = 'unused',
}
