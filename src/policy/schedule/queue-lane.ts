/** Part of the queue; a lane of a lower number is served before one of a higher, the first four in turn. */
export enum QueueLane {
	InteractiveShort,
	BookingShort,
	/** Requests of a lower lane that have waited for long. */
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
