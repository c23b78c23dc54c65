/** How a request ended at a stand-in target. */
export enum RunEnd {
	/** Not ended yet. */
	Pending = 'pending',
	/** Ran to its end and was answered. */
	Completed = 'completed',
	/** The caller closed the connection; the slot was freed. */
	Cancelled = 'cancelled',
	/** The deadline passed; the slot was freed. */
	Expired = 'expired',
	/** Refused as not run. */
	Refused = 'refused',
	/** Answered with an error at once. */
	Failed = 'failed',
}
