import type {CallOutcome} from './call-outcome.js';

/** What one request of a load came to. */
export type CallSample = {
	readonly service: string;
	readonly requestId: string;
	/** Index of the request's kind. */
	readonly kind: number;
	/** Intended time of sending, after the start of the load, in ms. */
	readonly atMs: number;
	/** Time from the intended sending to the end of the answer, in ms. */
	readonly latencyMs: number;
	readonly outcome: CallOutcome;
	readonly status: number;
	/** Instance that the request was sent to. */
	readonly instance: string;
};
