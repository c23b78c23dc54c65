import type {TargetLoad} from './target-load.js';

/** What a target says of itself in the headers of a response. */
export type TargetReport = {
	/** Undefined when the response has no valid load report. */
	readonly load: TargetLoad | undefined;
	/** Whether the target is leaving and accepts no new requests. */
	readonly isLeaving: boolean;
	/** Time for which the target accepts no requests from this instance, in ms; 0 for none. */
	readonly pauseMs: number;
	/** Remaining warm-up time, in ms; undefined when the response does not state it. */
	readonly warmUpLeftMs?: number | undefined;
};
