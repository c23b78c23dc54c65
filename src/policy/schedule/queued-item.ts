import type {RequestClass} from '../../common/request-class.js';

/** Properties of a waiting request that decide its order in the queue. */
export type QueuedItem = {
	readonly requestClass: RequestClass;
	readonly isLong: boolean;
	/** True for every attempt after the first. */
	readonly isRetry: boolean;
	/** On the instance's clock, in ms. */
	readonly enqueuedAt: number;
	/** On the instance's clock, in ms. */
	readonly deadlineAt: number;
	/** Bytes that the request holds while it waits. */
	readonly heldBytes: number;
	/** Time for which the request is expected to occupy a slot, in ms. */
	readonly costMs: number;
};
