import {err, type Result} from 'neverthrow';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import type {PlacementRequest} from './placement-request.js';
import {ServiceAdmission} from './service-admission.js';
import {ServicePlacer} from './service-placer.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetLease} from './target-lease.js';
import type {TargetPool} from './target-pool.js';

const usualMs = 100;
const lease = {target: {id: 'i-1'}} as unknown as TargetLease;

const createChoice = (estimateMs: number): TargetChoice => ({
	pooledTarget: undefined as unknown as TargetChoice['pooledTarget'], estimateMs, hasFreeSlot: true, isIdle: estimateMs <= usualMs,
});

describe('ServicePlacer', () => {
	let choice: TargetChoice | undefined;
	let size = 1;
	let isExhausted = false;
	let pauseMs = 0;
	let permitWaitMs = 0;
	let now = 0;
	let placer: ServicePlacer;

	const createRequest = (fields: Partial<PlacementRequest> = {}): PlacementRequest => ({
		service: 's', priority: 1, objectiveAt: 400, deadlineAt: 3000, excludedTargets: [], bodyBytes: 0, signal: new AbortController().signal, ...fields,
	});

	const describeResult = (result: Result<TargetLease, RequestError>): string => result.match(({target}) => target.id, ({kind}) => kind);

	beforeEach(() => {
		choice = undefined;
		size = 1;
		isExhausted = false;
		pauseMs = 0;
		permitWaitMs = 0;
		now = 0;
		const pool = {
			serviceTimes: {usualMs, meanMs: usualMs},
			inFlight: 1,
			get size() {
				return size;
			},
			isExhausted: () => isExhausted,
			computePauseMs: () => pauseMs,
			computePermitWaitMs: () => permitWaitMs,
			chooseFromReports: () => choice,
			chooseWithProbes: async () => choice,
			confirmChoice: () => choice,
			grant: () => lease,
		};
		placer = new ServicePlacer({
			pool: pool as unknown as TargetPool, admission: new ServiceAdmission(() => 0), clock: {now: () => now}, logger: silentLogger, metrics: disabledMetrics,
		});
	});

	it.each([
		['takes an idle target', 100, {}, 'i-1'],
		['takes a slowed target that still meets the objective', 390, {}, 'i-1'],
	])('%s', async (_name, estimateMs, fields, end) => {
		choice = createChoice(estimateMs);
		expect(describeResult(await placer.acquire(createRequest(fields)))).toBe(end);
	});

	it.each([
		['the service has no target', () => {
			size = 0;
		}],
		['all targets are excluded', () => {
			isExhausted = true;
		}],
		['all targets accept no requests before the deadline', () => {
			pauseMs = 2950;
		}],
	])('refuses at once when %s', async (_name, prepare) => {
		prepare();
		expect(describeResult(await placer.acquire(createRequest()))).toBe(ErrorKind.NoTarget);
	});

	it('states when the first target accepts requests again', async () => {
		pauseMs = 60_000;
		const refused = await placer.acquire(createRequest());
		expect(refused._unsafeUnwrapErr().retryAfterMs).toBe(60_000);
	});

	// Guards against requests that wait for permits of cold targets until they are late, although another instance could serve them.
	it.each([
		{waitMs: 299, end: 'i-1', retryAfterMs: undefined},
		{waitMs: 301, end: ErrorKind.QueueFull, retryAfterMs: 301},
	])('with a permit expected in $waitMs ms ends a request with $end', async ({waitMs, end, retryAfterMs}) => {
		permitWaitMs = waitMs;
		choice = createChoice(100);
		const result = await placer.acquire(createRequest());
		expect(describeResult(result)).toBe(end);
		expect(result.isErr() ? result.error.retryAfterMs : undefined).toBe(retryAfterMs);
	});

	it('ends a request that was aborted before, with the reason', async () => {
		const reason = new RequestError(ErrorKind.CallerGone, 'the caller left');
		choice = createChoice(100);
		expect(await placer.acquire(createRequest({signal: AbortSignal.abort(reason)}))).toEqual(err(reason));
	});

	it.each([
		['the last target has gone', [], () => {
			size = 0;
		}],
		['no target accepts requests and none says when it will', [], () => {
			pauseMs = Number.POSITIVE_INFINITY;
		}],
		['the same holds for those that it has not tried', ['i-0'], () => {
			pauseMs = Number.POSITIVE_INFINITY;
		}],
	])('refuses a waiting request at once when %s', async (_name, excludedTargets, change) => {
		const pending = placer.acquire(createRequest({excludedTargets}));
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		change();
		placer.placeWaiting();
		expect(describeResult(await pending)).toBe(ErrorKind.NoTarget);
	});

	it('refuses a waiting request as soon as no target can complete it before its deadline', async () => {
		const pending = placer.acquire(createRequest());
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		now = 2900;
		placer.placeWaiting();
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		expect(placer.waitingCount).toBe(1);
		now = 2901;
		placer.placeWaiting();
		const refused = await pending;
		expect(refused._unsafeUnwrapErr().kind).toBe(ErrorKind.DeadlineUnreachable);
		expect(placer.waitingCount).toBe(0);
	});

	it('queues a request that a slowed target would make late until a better target is free', async () => {
		choice = createChoice(500);
		const pending = placer.acquire(createRequest());
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		expect(placer.waitingCount).toBe(1);
		choice = createChoice(100);
		placer.placeWaiting();
		expect(describeResult(await pending)).toBe('i-1');
	});

	it('refuses a request that would miss its objective behind the queued ones', async () => {
		const ending = new AbortController();
		const waiting = Array.from({length: 3}, async () => placer.acquire(createRequest({signal: ending.signal})));
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		const refused = await placer.acquire(createRequest({objectiveAt: 350}));
		expect(refused._unsafeUnwrapErr()).toMatchObject({kind: ErrorKind.QueueFull, retryAfterMs: 300});
		ending.abort(new RequestError(ErrorKind.CallerGone, 'the caller left'));
		expect(await Promise.all(waiting)).toEqual(Array.from({length: 3}, () => err(ending.signal.reason)));
		expect(placer.waitingCount).toBe(0);
		placer.dispose();
	});
});
