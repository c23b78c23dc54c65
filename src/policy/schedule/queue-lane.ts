/** Lanes of the wait queue, highest priority first; the tiers in `WaitQueue` say which lanes have the same priority. */
export enum QueueLane {
	InteractiveShort,
	BookingShort,
	/** Requests of lower lanes that have waited long. */
	AgedShort,
	AgedLong,
	InteractiveLong,
	BookingLong,
	InteractiveRetry,
	BookingRetry,
	DeferrableShort,
	DeferrableLong,
	DeferrableRetry,
}
