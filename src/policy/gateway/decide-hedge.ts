import type {HedgeCapacity} from './hedge-capacity.js';
import type {HedgeDecision} from './hedge-decision.js';
import {HedgeRefusal} from './hedge-refusal.js';

type HedgeInput = HedgeCapacity & {
	readonly deadlineAt: number;
	/** Whether the share of requests that operators allow for hedges is not used up. */
	readonly hasHedgeLeft: boolean;
};

/** Share of free slots below which targets count as short of them: nearly full targets are slower, and the rest is needed when load fluctuates. */
const minFreeShare = 0.3;

/** Decides whether a slow request is sent to a second target while its first attempt is in progress. */
export const decideHedge = (input: HedgeInput, now: number): HedgeDecision => {
	const {deadlineAt, hasHedgeLeft, waitingCount, freeShare, usualMs, hasRetryLeft} = input;
	if (now + usualMs > deadlineAt) {
		return {kind: 'stop'};
	}

	if (!hasHedgeLeft) {
		return {kind: 'refuse', refusal: HedgeRefusal.Limit};
	}

	if (!hasRetryLeft) {
		return {kind: 'refuse', refusal: HedgeRefusal.Budget};
	}

	return waitingCount > 0 || (freeShare !== undefined && freeShare < minFreeShare)
		? {kind: 'refuse', refusal: HedgeRefusal.Capacity}
		: {kind: 'send'};
};
