/** How one attempt at a target ended. */
export enum AttemptEnd {
	/** A whole answer that is passed on. */
	Answered = 'answered',
	/** A whole answer of the target that says that it failed. */
	Failed = 'failed',
	/** The target proved that it did not run the request. */
	Refused = 'refused',
	/** Another target has the address. */
	Misdirected = 'misdirected',
	/** No connection; nothing was sent. */
	ConnectFailed = 'connect-failed',
	/** The connection was lost, or the answer was cut or belongs to another request. */
	Lost = 'lost',
	/** This side gave the attempt up while the target was at work. */
	Cancelled = 'cancelled',
	/** Nothing was sent, for a reason that does not concern the target. */
	Unused = 'unused',
}
