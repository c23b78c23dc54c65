import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import type {HedgeOffer} from './hedge-offer.js';
import type {HedgeRequest} from './hedge-request.js';
import {LimitedHedgeSource} from './limited-hedge-source.js';
import type {TargetLease} from './target-lease.js';

const capacity = {
	waitingCount: 0, freeShare: 0.5, usualMs: 100, hasRetryLeft: true,
};

describe('LimitedHedgeSource', () => {
	let now = 0;
	let current = capacity;
	let events: string[] = [];
	/** Called while the targets for a hedge are probed. */
	let whileProbing: () => void = () => undefined;
	let hasIdleTarget = true;
	let source: LimitedHedgeSource;
	const abortController = new AbortController();
	const lease: Partial<TargetLease> = {
		release(end) {
			events.push(end);
		},
	};

	const createRequest = (fields: Partial<HedgeRequest['placement']> = {}): HedgeRequest => ({
		placement: {
			service: 's', priority: 0, objectiveAt: now + 1000, deadlineAt: now + 5000, excludedTargets: ['i-1'], bodyBytes: 0, signal: abortController.signal, ...fields,
		}, objectiveMs: 1000, placedAt: now, delayMs: 300,
	});

	const createSource = (ratio: number) => new LimitedHedgeSource({
		ratio,
		placement: {
			getUsualMs: () => current.usualMs,
			getHedgeCapacity: () => current,
			async tryAcquire() {
				events.push('probed');
				whileProbing();
				return hasIdleTarget ? lease as TargetLease : undefined;
			},
			tryTakeRetry() {
				events.push('budget');
				return true;
			},
		},
		view: {onConfiguration: () => ({dispose: () => undefined})},
		clock: {now: () => now},
		metrics: {
			...disabledMetrics,
			countEvent(_name, tags) {
				events.push(tags?.result ?? '');
			},
		},
	});

	beforeEach(() => {
		now = 0;
		current = capacity;
		events = [];
		whileProbing = () => undefined;
		hasIdleTarget = true;
		source = createSource(0.5);
		source.addRequest('s');
		source.addRequest('s');
	});

	// Guards against hedges that take a slot from a request that waits, and against probes and retries spent on hedges that are not sent.
	it.each([
		['takes a slot, a retry and a hedge', {}, undefined, ['probed', 'budget']],
		['probes no targets while slots are short', {freeShare: 0.1}, undefined, ['refused-capacity']],
		['returns a slot when a request begins to wait meanwhile', {}, {waitingCount: 1}, ['probed', 'unused', 'refused-capacity']],
		['returns a slot when another request takes the last retry meanwhile', {}, {hasRetryLeft: false}, ['probed', 'unused', 'refused-budget']],
	])('%s', async (_name, before, meanwhile, expected) => {
		current = {...capacity, ...before};
		whileProbing = () => {
			current = {...current, ...meanwhile};
		};

		const offer = await source.tryAcquire(createRequest());
		expect(offer.kind).toBe(expected.includes('budget') ? 'granted' : 'later');
		expect(events).toEqual(expected);
	});

	it.each<readonly [string, Partial<HedgeRequest['placement']>, HedgeOffer, string[]]>([
		['before a target was tried', {excludedTargets: []}, {kind: 'later', delayMs: 200}, ['refused-capacity']],
		['when no target is idle', {}, {kind: 'later', delayMs: 200}, ['probed', 'refused-capacity']],
		['and waits longer when the objective is missed by then', {objectiveAt: 250}, {kind: 'later', delayMs: 600}, ['probed', 'refused-capacity']],
		['and looks again later for an attempt that takes long', {deadlineAt: 2000}, {kind: 'later', delayMs: 400}, ['probed', 'refused-capacity']],
		['and does not look again when that would be too late', {deadlineAt: 1290}, {kind: 'never'}, ['probed', 'refused-capacity']],
	])('sends no hedge %s', async (_name, fields, expected, expectedEvents) => {
		hasIdleTarget = false;
		const request = createRequest(fields);
		now = fields.deadlineAt === undefined ? 0 : 800;
		expect(await source.tryAcquire(request)).toEqual(expected);
		expect(events).toEqual(expectedEvents);
	});

	// Guards against a delay that falls with each hedge, since the slow attempts that hedges cut short would not be counted.
	it('counts slow attempts that were cut short, and ignores those that ended early without a response', () => {
		source = createSource(0.1);
		for (let count = 0; count < 40; count++) {
			const request = createRequest();
			now += count % 8 === 0 ? 400 : 150;
			source.recordFirstEnd(request, count % 8 !== 0);
			source.recordFirstEnd({...request, placedAt: now - 5}, false);
		}

		expect(source.notePlaced(createRequest())).toBeGreaterThanOrEqual(400);
	});

	// Guards against limits that are used up before the slowest requests are hedged, or hardly used.
	it.each([
		{ratio: 0.06, shortestMs: 970, longestMs: 990},
		{ratio: 0.3, shortestMs: 890, longestMs: 910},
	])('counts as slow a third of the share of requests that may be hedged, $ratio, among those with the same objective', ({ratio, shortestMs, longestMs}) => {
		source = createSource(ratio);
		for (let count = 1; count <= 100; count++) {
			const request = createRequest({objectiveAt: now + 60_000});
			now += count * 10;
			source.recordFirstEnd(request, true);
			source.recordFirstEnd({...request, objectiveMs: 100, placedAt: now - 2000}, true);
			now = 0;
		}

		const delayMs = source.notePlaced(createRequest({objectiveAt: 60_000}));
		expect(delayMs).toBeGreaterThanOrEqual(shortestMs);
		expect(delayMs).toBeLessThanOrEqual(longestMs + 10);
	});
});
