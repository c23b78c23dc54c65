import {describe, expect, it} from 'vitest';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {TargetRecord} from './target-record.js';

describe('TargetRecord', () => {
	it.each([
		['after successes', [AttemptEnd.Answered, AttemptEnd.Answered], false],
		['after two failures', [AttemptEnd.Failed, AttemptEnd.Lost], false],
		['after three refusals without proof', [AttemptEnd.RefusedUnproven, AttemptEnd.RefusedUnproven, AttemptEnd.RefusedUnproven], true],
		['after three failures', [AttemptEnd.Failed, AttemptEnd.Failed, AttemptEnd.Lost], true],
		['after a connection that could not be opened', [AttemptEnd.ConnectFailed], true],
		['when another target has its address', [AttemptEnd.Misdirected], true],
		['after refusals', [AttemptEnd.Refused, AttemptEnd.Refused, AttemptEnd.Refused], false],
	])('%s, with the results %j, is ejected: %s', (_name, ends, isEjected) => {
		const record = new TargetRecord(gatewayTarget, 0);
		for (const end of ends) {
			record.recordEnd(end, 100);
		}

		expect(record.isEjected(200)).toBe(isEjected);
	});

	it('starts with a higher failure rate after a restart, which falls with the first success', () => {
		const record = new TargetRecord(gatewayTarget, 0, new TargetRecord(gatewayTarget, 0));
		const before = record.failureRate;
		expect(before).toBeGreaterThan(0);
		record.recordEnd(AttemptEnd.Answered, 100);
		expect(record.failureRate).toBeLessThan(before);
	});

	it('is warming up for the listed time', () => {
		const record = new TargetRecord(gatewayTarget, 1000);
		expect([record.isWarming(3999), record.isWarming(4000)]).toEqual([true, false]);
	});

	// Guards against late reports that end the warm-up of a target that has become cold, and against one that never ends.
	it.each([
		{
			name: 'a longer time', leftMs: 20_000, askedAt: 1990, leftAfter: 20_000, isAgain: true,
		},
		{
			name: 'a time that is longer by its way only', leftMs: 2300, askedAt: 1990, leftAfter: 2300, isAgain: false,
		},
		{
			name: 'a shorter time', leftMs: 500, askedAt: 1990, leftAfter: 500, isAgain: false,
		},
		{
			name: 'no time, asked before the warm-up was known', leftMs: 0, askedAt: 990, leftAfter: 2000, isAgain: false,
		},
	])('with 2,000 ms left, follows a response with $name', ({leftMs, askedAt, leftAfter, isAgain}) => {
		const record = new TargetRecord(gatewayTarget, 1000);
		expect(record.recordWarmUp(leftMs, askedAt, 2000)).toBe(isAgain);
		expect(record.getWarmUpLeftMs(2000)).toBe(leftAfter);
	});

	it.each([
		{warmUpLeftMs: 0, leftAfter: 2000, isAgain: false},
		{warmUpLeftMs: 30_000, leftAfter: 30_000, isAgain: true},
	])('with 2,000 ms left, takes over a newer entry of the list with $warmUpLeftMs ms', ({warmUpLeftMs, leftAfter, isAgain}) => {
		const record = new TargetRecord(gatewayTarget, 1000);
		expect(record.updateTarget({...gatewayTarget, slots: 9, warmUpLeftMs}, 2000)).toBe(isAgain);
		expect([record.getWarmUpLeftMs(2000), record.target.slots]).toEqual([leftAfter, 9]);
	});
});
