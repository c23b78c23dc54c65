/** What moves a planned stop on. */
export enum ShutdownInput {
	/** A signal to stop. */
	Signal = 'signal',
	/** No route answer that names this instance may still be used. */
	RoutesExpired = 'routes-expired',
	/** Nothing is in flight. */
	Idle = 'idle',
	/** The longest time for a stop is over. */
	LimitReached = 'limit-reached',
}
