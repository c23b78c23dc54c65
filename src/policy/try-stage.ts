/** How far one try of a request has got. */
export enum TryStage {
	/** No connection was asked for. */
	Queued = 'queued',
	/** A connection is being taken or opened; nothing was written. */
	Connecting = 'connecting',
	/** Bytes of the request may have reached the target. */
	Dispatched = 'dispatched',
	/** The head of the target's answer has arrived. */
	Answering = 'answering',
	/** Nothing more can change. */
	Settled = 'settled',
}
