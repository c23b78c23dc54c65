import type {RunEnd} from './run-end.js';

/** What a stand-in target knows of one request; times are wall-clock times in ms. */
export type RunRecord = {
	/** Header `x-request-id`; empty when there was none. */
	readonly requestId: string;
	/** Header `idempotency-key`; empty when there was none. */
	readonly idempotencyKey: string;
	readonly target: string;
	readonly method: string;
	readonly path: string;
	readonly arrivedAt: number;
	/** Time at which the request took a slot; undefined when it never ran. */
	readonly startedAt: number | undefined;
	readonly endedAt: number | undefined;
	readonly end: RunEnd;
	/** Bytes of the request's body that arrived. */
	readonly bodyBytes: number;
	/** True when the request's body arrived whole. */
	readonly isBodyWhole: boolean;
};
