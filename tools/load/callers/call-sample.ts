import type {CallOutcome} from './call-outcome.js';

/** Measured result of one request of a load. */
export type CallSample = {
	readonly service: string;
	readonly requestId: string;
	/** Index into the request kinds of the load. */
	readonly kind: number;
	/** Scheduled send time, in ms from the start of the load. */
	readonly atMs: number;
	/** Time from the scheduled send time to the end of the response, in ms, network delay included. */
	readonly latencyMs: number;
	readonly outcome: CallOutcome;
	readonly status: number;
	/** Id of the instance that the request was sent to, or its URL when no route was fetched; empty without a response. */
	readonly instance: string;
};
