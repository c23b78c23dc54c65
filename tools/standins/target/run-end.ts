/** How a request ended at a stand-in target. */
export enum RunEnd {
	/** Waiting, running, or its body still arriving. */
	Pending = 'pending',
	/** Ran to completion. */
	Completed = 'completed',
	/** The caller closed the connection; the slot, if taken, was freed. */
	Cancelled = 'cancelled',
	/** The deadline passed; the slot, if taken, was freed. */
	Expired = 'expired',
	/** Refused without running. */
	Refused = 'refused',
	/** Failed immediately with an error response, without taking a slot. */
	Failed = 'failed',
}
