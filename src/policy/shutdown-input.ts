/** Inputs of the state machine of a graceful shutdown. */
export enum ShutdownInput {
	/** The process received a signal to stop. */
	Signal = 'signal',
	/** All route responses that contain this instance have expired. */
	RoutesExpired = 'routes-expired',
	/** No request is in flight. */
	Idle = 'idle',
	/** The maximum time for the shutdown has passed. */
	LimitReached = 'limit-reached',
}
