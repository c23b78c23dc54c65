/** Phases of a graceful shutdown. */
export enum ShutdownPhase {
	/** No shutdown was requested. */
	Running = 'running',
	/** This instance has announced that it is leaving; it still accepts requests, since earlier route responses may not have expired. */
	Announced = 'announced',
	/** No new connections are accepted; requests in flight finish. */
	Finishing = 'finishing',
	/** Requests still in flight are ended with an error response that states their outcome. */
	Aborting = 'aborting',
	/** The process may exit. */
	Ended = 'ended',
}
