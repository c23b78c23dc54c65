/** Progress of one attempt of a request. */
export enum AttemptStage {
	/** No connection was requested yet. */
	Queued = 'queued',
	/** A connection is being acquired; nothing was written. */
	Connecting = 'connecting',
	/** Bytes of the request may have reached the target. */
	Dispatched = 'dispatched',
	/** The head of the target's response was received. */
	Responding = 'answering',
	/** The outcome is final. */
	Settled = 'settled',
}
