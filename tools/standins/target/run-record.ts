import type {RunEnd} from './run-end.js';

/** One request as a stand-in target recorded it; times are wall-clock times in ms. Sent between processes. */
export type RunRecord = {
	/** Header `x-request-id`; empty when there was none. */
	readonly requestId: string;
	/** Header `idempotency-key`; empty when there was none. */
	readonly idempotencyKey: string;
	/** Id of the target. */
	readonly target: string;
	readonly method: string;
	readonly path: string;
	readonly arrivedAt: number;
	/** Time at which the request took a slot; undefined when it did not run. */
	readonly startedAt: number | undefined;
	readonly endedAt: number | undefined;
	readonly end: RunEnd;
	/** Number of received bytes of the request body. */
	readonly bodyBytes: number;
	/** Whether the request body was received completely. */
	readonly isBodyWhole: boolean;
};
