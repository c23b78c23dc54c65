/** State of a service by which its hedges are decided. */
export type HedgeCapacity = {
	/** Requests of the service that wait for a slot on this instance. */
	readonly waitingCount: number;
	/** Share of free slots in recent load reports of the service's targets; undefined without a report. */
	readonly freeShare: number | undefined;
	/** Expected duration of a request at an idle target, in ms. */
	readonly usualMs: number;
	/** Whether the fleet's retry budget allows this instance another retry or hedge. */
	readonly hasRetryLeft: boolean;
};
