import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ExchangeEnd} from '../../common/exchange-end.js';
import {serviceSpecSchema} from '../../common/service-spec-schema.js';
import {ServiceLoad} from './service-load.js';

const createSpec = (targetCount: number, slots: number) => serviceSpecSchema.parse({
	name: 'lacefront',
	team: 'morant',
	template: 'catalogue',
	targets: Array.from({length: targetCount}, (_, index) => ({
		id: `t${index}`, host: '127.0.0.1', port: 8080, failureDomain: `kingston-${(index % 2) + 1}`,
	})),
	rules: [{
		name: 'lookup', idempotent: true, class: 'interactive', deadlineMs: 1000,
	}],
	slotsPerTarget: slots,
	connectionsPerTarget: 250,
	longSlotsPerTarget: Math.max(1, slots - 1),
	probesPerTargetPerSecond: 2,
	retryRatio: 0.1,
	hedgeRatio: 0.05,
	hedgeAfterMs: 40,
});

const createLoad = (targetCount = 4, slots = 2, instanceId = 'entry-1') => new ServiceLoad(createSpec(targetCount, slots), {instanceId, failureDomain: 'kingston-1', peerExpiryMs: 1000});
const criteria = {
	isLong: false, excludedTargets: [], maxExtraMs: Number.POSITIVE_INFINITY, isOvercommitAllowed: false,
};

const actionArbitrary = fc.record({
	kind: fc.constantFrom('start', 'end', 'peer', 'report', 'lie'),
	pick: fc.nat(1000),
	isLong: fc.boolean(),
	end: fc.constantFrom(...Object.values(ExchangeEnd)),
	stepMs: fc.nat(200),
	count: fc.nat(6),
});

describe('ServiceLoad', () => {
	it('neither estimates nor grants more slots than the template allows', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 6}), fc.integer({min: 1, max: 6}), fc.array(actionArbitrary, {maxLength: 200}), (targetCount, slots, actions) => {
			const load = createLoad(targetCount, slots);
			const uses: Array<{end: (kind: ExchangeEnd, at: number) => void}> = [];
			let now = 0;
			for (const {kind, pick, isLong, end, stepMs, count} of actions) {
				now += stepMs;
				const target = load.spec.targets[pick % targetCount];
				switch (kind) {
					case 'start': {
						const choice = load.chooseTarget({...criteria, isLong}, now);
						const use = choice?.load.acquireSlot(isLong, now);
						if (choice !== undefined && use !== undefined) {
							uses.push({
								end(kindOfEnd, at) {
									choice.load.releaseSlot(use, kindOfEnd, at);
								},
							});
						}

						break;
					}

					case 'end': {
						uses.splice(pick % Math.max(1, uses.length), 1)[0]?.end(end, now);
						break;
					}

					case 'peer': {
						load.peers.acceptCounts(`peer-${pick % 3}`, new Map([[target?.id ?? '', {inFlight: count, longInFlight: 0}]]), now, isLong);
						break;
					}

					case 'report':
					case 'lie': {
						load.getTarget(target?.id ?? '')?.acceptReport({inFlight: kind === 'lie' ? -count : count, queued: 0, draining: false}, now, {slots, usualMs: 10});
					}
				}

				for (const spec of load.spec.targets) {
					const free = load.estimateFreeSlots(spec, now);
					expect(free).toBeGreaterThanOrEqual(0);
					expect(free + (load.getTarget(spec.id)?.inFlight ?? 0)).toBeLessThanOrEqual(slots);
					expect(load.getTarget(spec.id)).toHaveProperty('longInFlight');
					expect(load.getTarget(spec.id)!.longInFlight).toBeLessThanOrEqual(load.spec.longSlotsPerTarget);
				}
			}
		}), {seed: 45, numRuns: 200});
	});

	it('balances the load of equal targets to within one request', () => {
		fc.assert(fc.property(fc.integer({min: 2, max: 10}), fc.integer({min: 1, max: 6}), fc.integer({min: 1, max: 60}), (targetCount, slots, requests) => {
			const load = createLoad(targetCount, slots);
			for (let count = 0; count < Math.min(requests, targetCount * slots); count++) {
				load.chooseTarget(criteria, 0)?.load.acquireSlot(false, 0);
			}

			const counts = load.spec.targets.map(({id}) => load.getTarget(id)?.inFlight ?? 0);
			const mean = load.inFlight / targetCount;
			expect(load.inFlight).toBe(Math.min(requests, targetCount * slots));
			expect(Math.max(...counts)).toBeLessThanOrEqual(Math.ceil(mean) + 1);
		}), {seed: 46, numRuns: 100});
	});

	it.each([
		{
			title: 'a peer holds all its slots', prepare(load: ServiceLoad) {
				load.peers.acceptCounts('entry-2', new Map([['t0', {inFlight: 2, longInFlight: 0}]]), 0, true);
			},
		},
		{
			title: 'it drains', prepare(load: ServiceLoad) {
				load.getTarget('t0')?.markDraining(0);
			},
		},
		{
			title: 'it refused work', prepare(load: ServiceLoad) {
				const state = load.getTarget('t0');
				state?.releaseSlot(state.acquireSlot(false, 0), ExchangeEnd.Refused, 0);
			},
		},
		{
			title: 'it failed three times', prepare(load: ServiceLoad) {
				const state = load.getTarget('t0');
				for (let count = 0; count < 3; count++) {
					state?.releaseSlot(state.acquireSlot(false, 0), ExchangeEnd.ConnectFailed, 0);
				}
			},
		},
		{
			title: 'it reports work of other senders', prepare(load: ServiceLoad) {
				for (let count = 0; count < 10; count++) {
					load.getTarget('t0')?.acceptReport({inFlight: 2, queued: 1, draining: false}, 0, {slots: 2, usualMs: 10});
				}
			},
		},
	])('leaves out a target when $title', ({prepare}) => {
		const load = createLoad();
		prepare(load);
		const chosen = new Set<string>();
		for (let choice = load.chooseTarget(criteria, 0); choice !== undefined; choice = load.chooseTarget(criteria, 0)) {
			choice.load.acquireSlot(false, 0);
			chosen.add(choice.target.id);
		}

		expect([...chosen].toSorted()).toEqual(['t1', 't2', 't3']);
	});

	it('ignores ejections when most targets are ejected', () => {
		const load = createLoad(2, 1);
		for (const id of ['t0', 't1']) {
			const state = load.getTarget(id);
			for (let count = 0; count < 3; count++) {
				state?.releaseSlot(state.acquireSlot(false, 0), ExchangeEnd.Lost, 0);
			}
		}

		expect(load.chooseTarget(criteria, 1)).toBeDefined();
	});

	it.each([
		{now: 1000, weight: 2},
		{now: 1750, weight: 1},
		{now: 2100, weight: 0},
	])('counts $weight of 2 requests at $now that a peer reported at 1000', ({now, weight}) => {
		const load = createLoad();
		load.peers.acceptCounts('entry-2', new Map([['t0', {inFlight: 2, longInFlight: 0}]]), 1000, true);
		expect(load.peers.sumTarget('t0', now).inFlight).toBeCloseTo(weight);
	});

	it('ramps up a target that is added later', () => {
		const load = createLoad(1, 4);
		load.updateSpec({...createSpec(2, 4), warmUpMs: 4000}, 1000);
		const added = load.spec.targets[1];
		expect([1000, 3100, 5100].map(now => added === undefined ? undefined : load.estimateFreeSlots(added, now))).toEqual([1, 2, 4]);
	});

	it.each([
		{
			title: 'one short request', isOvercommitAllowed: true, isLong: false, given: 1,
		},
		{
			title: 'no long request', isOvercommitAllowed: true, isLong: true, given: 0,
		},
		{
			title: 'no request while the queue is short', isOvercommitAllowed: false, isLong: false, given: 0,
		},
	])('sends $title to a full target', ({isOvercommitAllowed, isLong, given}) => {
		const load = createLoad(1, 2);
		for (let count = 0; count < 2; count++) {
			load.chooseTarget(criteria, 0)?.load.acquireSlot(false, 0);
		}

		let count = 0;
		for (let choice = load.chooseTarget({...criteria, isOvercommitAllowed, isLong}, 0); choice !== undefined; choice = load.chooseTarget({...criteria, isOvercommitAllowed, isLong}, 0)) {
			choice.load.acquireSlot(isLong, 0);
			count++;
		}

		expect(count).toBe(given);
	});

	it('prefers the target with the faster responses', () => {
		const load = createLoad(2, 4);
		const slow = load.getTarget('t0');
		slow?.releaseSlot(slow.acquireSlot(false, 0), ExchangeEnd.Answered, 100);
		expect(load.chooseTarget(criteria, 100)?.target.id).toBe('t1');
	});
});
