/** A target that a request may be sent to, with what counts in the choice. */
export type TargetExplanation = {
	readonly id: string;
	readonly failureDomain: string;
	/** Whether it is in the failure domain of the instance. */
	readonly isLocal: boolean;
	/** Slots within its concurrency limit that are free by its last report and by the requests of this instance. */
	readonly freeSlots: number;
	/** Age of its last load report, in ms; undefined without one. */
	readonly reportAgeMs?: number | undefined;
	/** Duration of requests by its last load report, as a factor of the usual time; undefined without one. */
	readonly slowdown?: number | undefined;
	/** Ratio of the measured to the expected durations. */
	readonly durationRatio: number;
	/** Fraction of its recent attempts that failed, 0 to 1. */
	readonly failureRate: number;
	readonly hasIdleConnection: boolean;
	/** Whether it is cold and this instance may send it a request. */
	readonly isCold: boolean;
	/** Expected duration of the request, in ms; undefined when it is known only after a probe. */
	readonly estimateMs?: number | undefined;
	/** Whether it is expected to take little more than the usual time. */
	readonly isIdle: boolean;
};
