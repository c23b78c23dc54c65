import type {PooledTarget} from './pooled-target.js';

/** How a target would serve a request that starts now. */
export type TargetChoice = {
	readonly pooledTarget: PooledTarget;
	/** Expected duration, in ms. */
	readonly estimateMs: number;
	/** Whether it has room for one more request. */
	readonly hasFreeSlot: boolean;
	/** Whether it has room and nothing slows it. */
	readonly isIdle: boolean;
};
