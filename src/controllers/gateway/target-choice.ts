import type {TargetPlace} from './target-place.js';

/** How a target would serve a request that starts now. */
export type TargetChoice = {
	readonly place: TargetPlace;
	/** Expected duration, in ms. */
	readonly estimateMs: number;
	/** Whether it has room for one more request. */
	readonly isFree: boolean;
	/** Whether it has room and nothing slows it. */
	readonly isIdle: boolean;
};
