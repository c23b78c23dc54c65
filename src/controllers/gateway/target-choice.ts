import type {PooledTarget} from './pooled-target.js';

/** A target and how it is expected to serve a request that starts now. */
export type TargetChoice = {
	readonly pooledTarget: PooledTarget;
	/** Expected duration of the request, in ms. */
	readonly estimateMs: number;
	/** Whether the target has a free slot within its concurrency limit. */
	readonly hasFreeSlot: boolean;
	/** Whether the target has a free slot and is expected to take little more than the usual time. */
	readonly isIdle: boolean;
};
