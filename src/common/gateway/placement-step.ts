/** What an instance would do first with a request that arrives now. */
export enum PlacementStep {
	Refuse = 'refuse',
	/** Send it to a target at once. */
	Send = 'send',
	/** Probe targets, and send it to an idle one or one that serves it in time. */
	Probe = 'probe',
	/** Queue it until a slot is free. */
	Wait = 'wait',
}
