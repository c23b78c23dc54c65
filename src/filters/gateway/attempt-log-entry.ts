import type {AttemptEnd} from '../../common/gateway/attempt-end.js';

/** One attempt as it appears in the log line of its request. */
export type AttemptLogEntry = {
	readonly target: string;
	readonly end: AttemptEnd;
	/** Time from the request's arrival to the attempt, in ms. */
	readonly afterMs: number;
	/** Duration of the attempt, in ms. */
	readonly tookMs: number;
	/** Time since the callers' connections were last read, at the start of the attempt, in ms. */
	readonly callerSeenMs: number;
	/** Slowdown that the target reported, as a factor, and the age of that report in ms; absent if there was no report. */
	readonly slowdown?: number;
	readonly reportAgeMs?: number;
};
