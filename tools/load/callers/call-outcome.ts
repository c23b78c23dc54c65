/** Outcome of one request as its caller saw it. */
export enum CallOutcome {
	/** A complete response of a target with a status below 500. */
	Complete = 'whole',
	/** A complete response of a target with a status of 500 or more. */
	TargetError = 'target error',
	/** The load balancer reported that the request did not run. */
	NotRun = 'not run',
	/** The load balancer reported that the request ran. */
	Ran = 'ran',
	/** The load balancer reported that it does not know whether the request ran. */
	Unknown = 'unknown',
	/** The response belongs to another request. */
	Mismatched = 'mixed',
	/** No complete response: connection failed, response truncated, or caller timed out. */
	NoResponse = 'no answer',
}
