/** Phases of a planned stop. */
export enum ShutdownPhase {
	/** No stop was asked for. */
	Running = 'running',
	/** Leaving was announced; requests are served while a route answer given before may still be used. */
	Announced = 'announced',
	/** No new connections; requests in flight finish. */
	Finishing = 'finishing',
	/** What is still in flight is ended with an honest answer. */
	Aborting = 'aborting',
	/** The process may exit. */
	Ended = 'ended',
}
