import type {Result} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {ErrorKind} from '../../common/error-kind.js';
import type {RequestError} from '../../common/request-error.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import type {PlacementRequest} from './placement-request.js';
import {ServiceAdmission} from './service-admission.js';
import {ServicePlacer} from './service-placer.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetLease} from './target-lease.js';
import type {TargetPool} from './target-pool.js';

const usualMs = 100;
type Row = readonly [name: string, priority: number, objectiveAt: number, deadlineAt?: number];

const twoPriorities = [{priority: 0, objectiveMs: 400}, {priority: 2, objectiveMs: 1500}];

describe('ServicePlacer with requests of different priorities', () => {
	let freeSlots: number;
	let now: number;
	let ends: string[];
	let retryAfterTimes: number[];
	let placer: ServicePlacer;

	beforeEach(() => {
		vi.useFakeTimers();
		freeSlots = 0;
		now = 0;
		ends = [];
		retryAfterTimes = [];
	});

	afterEach(() => {
		placer.dispose();
		vi.useRealTimers();
	});

	const createPlacer = (priorities: ReadonlyArray<{priority: number; objectiveMs: number}>) => {
		const choose = () => freeSlots > 0 ? {estimateMs: usualMs, hasFreeSlot: true, isIdle: true} as unknown as TargetChoice : undefined;
		const pool = {
			serviceTimes: {usualMs, meanMs: usualMs},
			inFlight: 1,
			size: 1,
			isExhausted: () => false,
			computePauseMs: () => 0,
			computePermitWaitMs: () => 0,
			chooseFromReports: choose,
			chooseWithProbes: async () => choose(),
			confirmChoice: choose,
			grant() {
				freeSlots--;
				return {target: {id: 'i-1'}} as unknown as TargetLease;
			},
		};
		const admission = new ServiceAdmission(() => 0);
		admission.setPriorities(priorities);
		placer = new ServicePlacer({
			pool: pool as unknown as TargetPool, admission, clock: {now: () => now}, logger: silentLogger, metrics: disabledMetrics,
		});
	};

	const createRequest = (priority: number, objectiveAt: number, deadlineAt: number): PlacementRequest => ({
		service: 's', priority, objectiveAt, deadlineAt, excludedTargets: [], bodyBytes: 0, signal: new AbortController().signal,
	});

	const sendRequest = async (name: string, request: PlacementRequest) => {
		const result: Result<TargetLease, RequestError> = await placer.acquire(request);
		if (result.isErr()) {
			retryAfterTimes.push(result.error.retryAfterMs!);
		}

		ends.push(`${name} ${result.match(() => 'placed', ({kind}) => kind)}`);
	};

	/** Sends requests one after the other; each adds its name and its end to the list when it is settled. */
	const sendRequests = async (requests: readonly Row[]) => {
		for (const [name, priority, objectiveAt, deadlineAt = 9000] of requests) {
			void sendRequest(name, createRequest(priority, objectiveAt, deadlineAt));
			await vi.advanceTimersByTimeAsync(1);
		}
	};

	const fillers = [['c1', 2, 1500], ['c2', 2, 1500], ['c3', 2, 1500]] as const;

	it('does not refuse an urgent request because less urgent ones wait', async () => {
		createPlacer(twoPriorities);
		await sendRequests([...fillers, ['urgent', 0, 350]]);
		expect(ends).toEqual([]);
		freeSlots = 1;
		placer.placeWaiting();
		await vi.advanceTimersByTimeAsync(1);
		expect(ends).toEqual(['urgent placed']);
	});

	it('refuses an urgent request that would miss its objective behind its own kind', async () => {
		createPlacer(twoPriorities);
		await sendRequests([['a', 0, 400], ['b', 0, 400], ['c', 0, 400], ['d', 0, 350]]);
		expect(ends).toEqual([`d ${ErrorKind.QueueFull}`]);
	});

	it.each([
		['would miss its objective', ['displaced', 2, 180]],
		['is late and would miss its deadline', ['displaced', 2, 50, 180]],
	] as const)('refuses a waiting request at once that %s behind urgent ones', async (_name, waiting) => {
		createPlacer(twoPriorities);
		// Four requests look for slots at the same time.
		await sendRequests([waiting, ['u1', 0, 400], ['u2', 0, 400], ['u3', 0, 400]]);
		expect(ends).toEqual([]);
		await sendRequests([['u4', 0, 400]]);
		expect(ends).toEqual([`displaced ${ErrorKind.QueueFull}`]);
	});

	it('serves late requests after all timely ones, the most urgent first', async () => {
		createPlacer(twoPriorities);
		await sendRequests([['late2', 2, 50], ['late0', 0, 60], ['timely2', 2, 1500], ['timely0', 0, 400]]);
		for (let count = 0; count < 4; count++) {
			freeSlots = 1;
			placer.placeWaiting();
			await vi.advanceTimersByTimeAsync(1);
		}

		expect(ends).toEqual(['timely0 placed', 'timely2 placed', 'late0 placed', 'late2 placed']);
	});

	it('gives a class that is never served a slot before more urgent ones', async () => {
		createPlacer(twoPriorities);
		await sendRequests([...fillers, ['c4', 2, 1600], ['urgent', 0, 400]]);
		for (let count = 0; count < 2; count++) {
			freeSlots = 1;
			placer.placeWaiting();
			await vi.advanceTimersByTimeAsync(1);
		}

		expect(ends).toEqual(['c1 placed', 'urgent placed']);
	});

	// Guards against hedges that take slots from the requests of other instances during a shortage.
	it.each<readonly [string, ReadonlyArray<{priority: number; objectiveMs: number}>, boolean]>([
		['sends no hedge while slots are scarce', twoPriorities, false],
		['sends hedges where the routes have one priority', [{priority: 0, objectiveMs: 400}], true],
	])('%s', async (_name, priorities, isGranted) => {
		createPlacer(priorities);
		await sendRequests([['u1', 0, 9000]]);
		now = 1000;
		await sendRequests([['u2', 0, 9000]]);
		freeSlots = 3;
		placer.placeWaiting();
		await vi.advanceTimersByTimeAsync(1);
		expect(ends).toEqual(['u1 placed', 'u2 placed']);
		expect(await placer.tryAcquire(createRequest(0, 9000, 9000)) !== undefined).toBe(isGranted);
	});

	/** Sends urgent requests that find no slot, until the scarcity level is 4, and places them without the time going on. */
	const raiseLevel = async () => {
		for (let count = 0; count < 10; count++) {
			now += 500;
			await sendRequests([['urgent', 0, 99_000, 99_000]]);
			// Updates the level.
			placer.placeWaiting();
		}

		freeSlots = 10;
		for (let count = 0; count < 10; count++) {
			placer.placeWaiting();
			await vi.advanceTimersByTimeAsync(1);
		}

		freeSlots = 0;
		ends = ends.filter(end => end !== 'urgent placed');
	};

	// Guards against late requests that wait for up to 20 s until their deadline although they never look for a slot.
	it.each<readonly [string, readonly Row[], readonly Row[], number, number]>([
		['arrive with their objective passed', [], [['late', 2, 4900, 14_000]], 5000, 3000],
		['are late when the level rises', [['late', 2, 50, 50_000]], [], 5000, 2000],
		['become late in the queue', [], [['late', 2, 5500, 14_000]], 5401, 8599 / 3],
	])('refuses requests that %s at once in a severe shortage', async (...[, before, after, endAt, retryAfterMs]) => {
		createPlacer(twoPriorities);
		await sendRequests(before);
		await raiseLevel();
		await sendRequests(after);
		now = endAt - 1;
		placer.placeWaiting();
		await vi.advanceTimersByTimeAsync(1);
		expect(ends).toEqual(endAt > 5000 ? [] : [`late ${ErrorKind.QueueFull}`]);
		now = endAt;
		placer.placeWaiting();
		await vi.advanceTimersByTimeAsync(1);
		expect(ends).toEqual([`late ${ErrorKind.QueueFull}`]);
		expect(retryAfterTimes[0]).toBeCloseTo(retryAfterMs);
	});

	it('lets late requests of a class below its floor compete, and refuses the others when it has got its floor, the first to return first', async () => {
		createPlacer(twoPriorities);
		await sendRequests([['a', 2, 10, 50_000], ['b', 2, 20, 50_000], ['c', 2, 30, 50_000], ['d', 2, 40, 50_000]]);
		await raiseLevel();
		expect(ends).toEqual(['a placed', ...['b', 'c', 'd'].map(name => `${name} ${ErrorKind.QueueFull}`)]);
		expect(retryAfterTimes).toEqual([3000, 3100, 3200]);
	});

	it('keeps order and refusals where the routes have one priority', async () => {
		createPlacer([{priority: 2, objectiveMs: 1500}]);
		await sendRequests([['late', 2, 50], ['b', 2, 700], ['a', 2, 600], ['c', 2, 800], ['refused', 2, 350]]);
		for (let count = 0; count < 4; count++) {
			freeSlots = 1;
			placer.placeWaiting();
			await vi.advanceTimersByTimeAsync(1);
		}

		expect(ends).toEqual([`refused ${ErrorKind.QueueFull}`, 'a placed', 'b placed', 'late placed', 'c placed']);
	});
});
