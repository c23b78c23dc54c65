import {describe, expect, it} from 'vitest';
import {decideHedge} from './decide-hedge.js';

const input = {
	deadlineAt: 1000, hasHedgeLeft: true, hasRetryLeft: true, waitingCount: 0, freeShare: 0.5, usualMs: 100,
};

describe('decideHedge', () => {
	// Guards against hedges that add load where capacity is short, exceed a limit, or cannot be complete in time.
	it.each([
		['with capacity to spare', {}, 'send'],
		['while no target reports its load', {freeShare: undefined}, 'send'],
		['with just enough free slots', {freeShare: 0.3}, 'send'],
		['with too few free slots', {freeShare: 0.29}, 'refused-capacity'],
		['while a request waits for a slot', {waitingCount: 1}, 'refused-capacity'],
		['without a hedge left', {hasHedgeLeft: false}, 'refused-limit'],
		['without a retry left', {hasRetryLeft: false}, 'refused-budget'],
		['without a hedge or a free slot', {hasHedgeLeft: false, freeShare: 0}, 'refused-limit'],
		['when it can just be complete before the deadline', {deadlineAt: 600}, 'send'],
		['when it cannot be complete before the deadline', {deadlineAt: 599}, 'stop'],
	])('decides %s', (_name, fields, expected) => {
		const decision = decideHedge({...input, ...fields}, 500);
		expect(decision.kind === 'refuse' ? decision.refusal : decision.kind).toBe(expected);
	});
});
