import {describe, expect, it} from 'vitest';
import {DecisionPolicy} from '../common/decision-policy.js';
import {ExchangeEnd} from '../common/exchange-end.js';
import {RequestClass} from '../common/request-class.js';
import {RequestSize} from '../common/request-size.js';
import {serviceSpecSchema} from '../common/service-spec-schema.js';
import type {SlotDemand} from '../common/slot-demand.js';
import {BaselineScheduler} from './baseline-scheduler.js';

const service = serviceSpecSchema.parse({
	name: 'lacefront',
	team: 'morant',
	template: 'catalogue',
	targets: ['a', 'b', 'c'].map(id => ({
		id, host: '127.0.0.1', port: 8080, failureDomain: 'kingston-1',
	})),
	rules: [{
		name: 'lookup', idempotent: true, class: 'interactive', deadlineMs: 1000,
	}],
	slotsPerTarget: 2,
	connectionsPerTarget: 250,
	longSlotsPerTarget: 1,
	probesPerTargetPerSecond: 2,
	retryRatio: 0.1,
	hedgeRatio: 0.05,
	hedgeAfterMs: 40,
});

const createDemand = (excludedTargets: string[] = []): SlotDemand => ({
	service,
	rule: 'lookup',
	requestClass: RequestClass.Interactive,
	size: RequestSize.Learned,
	idempotent: true,
	deadlineAt: 1000,
	heldBytes: 0,
	attempt: 0,
	excludedTargets,
	signal: undefined,
});

const createScheduler = (policy: Exclude<DecisionPolicy, DecisionPolicy.Rattansill>, queryLoad = async () => undefined as never) => new BaselineScheduler({
	policy, clock: {now: () => 0}, random: () => 0, queryLoad,
});

describe('BaselineScheduler', () => {
	it.each([
		{policy: DecisionPolicy.RoundRobin as const, excluded: [], chosen: ['b', 'c', 'a', 'b']},
		{policy: DecisionPolicy.LeastOutstanding as const, excluded: [], chosen: ['c', 'b', 'a', 'c']},
		{policy: DecisionPolicy.LeastOutstanding as const, excluded: ['a', 'b'], chosen: ['c', 'c', 'c', 'c']},
		{policy: DecisionPolicy.RoundRobin as const, excluded: ['a', 'b', 'c'], chosen: [undefined, undefined]},
	])('$policy without $excluded chooses $chosen', ({policy, excluded, chosen}) => {
		const scheduler = createScheduler(policy);
		expect(chosen.map(() => scheduler.tryAcquireSlot(createDemand(excluded))?.target.id)).toEqual(chosen);
	});

	it('subtracts a released request from the in-flight count only once', () => {
		const scheduler = createScheduler(DecisionPolicy.LeastOutstanding);
		const lease = scheduler.tryAcquireSlot(createDemand());
		scheduler.tryAcquireSlot(createDemand());
		lease?.release(ExchangeEnd.Answered);
		lease?.release(ExchangeEnd.Answered);
		scheduler.tryAcquireSlot(createDemand(['c']));
		expect(scheduler.tryAcquireSlot(createDemand())?.target.id).toBe('c');
	});

	it('chooses targets by the reports in the probe pool', async () => {
		const scheduler = new BaselineScheduler({
			policy: DecisionPolicy.ProbePool, clock: {now: () => 0}, random: () => 0.5, queryLoad: async () => ({inFlight: 0, queued: 0, draining: false}),
		});
		scheduler.tryAcquireSlot(createDemand());
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect(scheduler.tryAcquireSlot(createDemand())?.target.id).toBe('b');
	});
});
