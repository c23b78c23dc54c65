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
});
