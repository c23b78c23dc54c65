/** Inputs of the state machine of an attempt. */
export enum AttemptInput {
	/** A connection is requested. */
	Connect = 'connect',
	/** No connection was available, or the attempt was abandoned before the request was handed to one. */
	Abandon = 'give-up',
	/** The request is handed to a connection; from now on bytes may reach the target. */
	Dispatch = 'dispatch',
	/** The connection has certainly not written a byte. */
	Unwritten = 'unwritten',
	/** The target refused the request in a way that, by its template, proves that it did not run. */
	Refused = 'refused',
	/** The head of the response was received. */
	ResponseStarted = 'answer-started',
	/** The response was received completely. */
	ResponseComplete = 'answer-whole',
	/** The connection was lost, the response was truncated or the attempt was cancelled. */
	Lost = 'lost',
}
