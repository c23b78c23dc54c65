/** Result of one attempt at a target. */
export enum AttemptEnd {
	/** A complete response that is passed on to the caller. */
	Answered = 'answered',
	/** A complete response in which the target reports a server error. */
	Failed = 'failed',
	/** The target rejected the request and stated that it did not run it. */
	Refused = 'refused',
	/** The target rejected the request without stating that it did not run it. */
	RefusedUnproven = 'refused-unproven',
	/** The address now belongs to another target. */
	Misdirected = 'misdirected',
	/** No connection could be opened; nothing was sent. */
	ConnectFailed = 'connect-failed',
	/** The connection was lost, or the response was truncated or belongs to another request. */
	Lost = 'lost',
	/** The gateway aborted the attempt while the target was processing it. */
	Cancelled = 'cancelled',
	/** Nothing was sent, for a reason unrelated to the target. */
	Unused = 'unused',
}
