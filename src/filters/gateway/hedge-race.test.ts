import {err, ok, type Result} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import type {HedgeOffer} from '../../controllers/gateway/hedge-offer.js';
import type {TargetLease} from '../../controllers/gateway/target-lease.js';
import {HedgeRace} from './hedge-race.js';

type AttemptResult = Result<BufferedResponse, RequestError>;
/** What an attempt does after a time in ms. */
type Script = `${number} ${'ok' | 'failure' | 'exception'}`;

const hedgeDelayMs = 100;
const response: BufferedResponse = {status: 200, rawHeaders: [], body: new Uint8Array(0)};
const placement = {
	service: 's', priority: 0, objectiveAt: 1000, deadlineAt: 5000, excludedTargets: [], bodyBytes: 0,
};
const responses = {first: response, hedge: {...response, status: 201}};

describe('HedgeRace', () => {
	let events: string[] = [];

	/** Runs an attempt, which ends early when its signal is aborted. */
	const runAttempt = async (name: 'first' | 'hedge', script: Script, signal: AbortSignal): Promise<AttemptResult> => new Promise((resolve, reject) => {
		const [afterMs, end] = script.split(' ');
		const cancel = () => {
			clearTimeout(timer);
			events.push(`${name} cancelled`);
			resolve(err(signal.reason as RequestError));
		};

		const timer = setTimeout(() => {
			signal.removeEventListener('abort', cancel);
			events.push(`${name} ${end}`);
			if (end === 'exception') {
				reject(new Error(name));
			} else {
				resolve(end === 'ok' ? ok(responses[name]) : err(new RequestError(ErrorKind.ConnectionLost, name)));
			}
		}, Number(afterMs));
		signal.addEventListener('abort', cancel, {once: true});
	});

	/** Runs a race and describes its result. */
	const runRace = async (first: Script, hedge: Script | 'never', callerLeavesMs = 10_000): Promise<string> => {
		const caller = new AbortController();
		setTimeout(() => {
			caller.abort(new RequestError(ErrorKind.CallerGone, 'caller'));
		}, callerLeavesMs);
		const race = new HedgeRace({
			source: {
				isOff: false,
				addRequest: () => undefined,
				getStartDelayMs: () => undefined,
				notePlaced: () => hedgeDelayMs,
				tryAcquire: async (): Promise<HedgeOffer> => hedge === 'never' ? {kind: 'later', delayMs: hedgeDelayMs} : {kind: 'granted', lease: {} as unknown as TargetLease},
				recordFirstEnd(_request, isComplete) {
					events.push(`recorded ${isComplete}`);
				},
				countHedge(_service, result) {
					events.push(`counted ${result}`);
				},
			},
			callerSignal: caller.signal,
			objectiveMs: 1000,
			createPlacement: signal => ({...placement, signal}),
			async runFirst({signal}, onPlaced) {
				onPlaced();
				return runAttempt('first', first, signal);
			},
			runHedge: async (_lease, signal) => runAttempt('hedge', hedge as Script, signal),
			isFailure: result => result.isErr(),
		});
		const describeEnd = async (): Promise<string> => {
			try {
				const result = await race.run();
				return result.match(({status}) => String(status), ({detail}) => detail);
			} catch (error) {
				return `rejected: ${(error as Error).message}`;
			}
		};

		const [described] = await Promise.all([describeEnd(), vi.advanceTimersByTimeAsync(10_000)]);
		return described;
	};

	beforeEach(() => {
		events = [];
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	// Guards against losers that keep their slots, and against a request that ends by the first failure while the other attempt may succeed.
	it.each<readonly [string, readonly [Script, Script | 'never'], string, string[]]>([
		['no hedge for a fast request', ['50 ok', '10 ok'], '200', ['first ok', 'recorded true']],
		['no hedge for a request that fails early', ['50 failure', '10 ok'], 'first', ['first failure', 'recorded false']],
		['the first attempt when no hedge is granted', ['900 ok', 'never'], '200', ['first ok', 'recorded true']],
		['a hedge that is faster', ['900 ok', '10 ok'], '201', ['counted sent', 'hedge ok', 'recorded false', 'counted won', 'first cancelled']],
		['the first attempt before a slow hedge', ['200 ok', '900 ok'], '200', ['counted sent', 'first ok', 'recorded true', 'counted lost', 'hedge cancelled']],
		['the hedge after a failure of the first attempt', ['200 failure', '900 ok'], '201', ['counted sent', 'first failure', 'recorded false', 'hedge ok', 'counted won']],
		['the first attempt after a failure of the hedge', ['900 ok', '10 failure'], '200', ['counted sent', 'hedge failure', 'first ok', 'recorded true', 'counted lost']],
		['the later one of two failures', ['200 failure', '900 failure'], 'hedge', ['counted sent', 'first failure', 'recorded false', 'hedge failure', 'counted lost']],
		['an exception of the hedge', ['900 ok', '10 exception'], 'rejected: hedge', ['counted sent', 'hedge exception', 'recorded false', 'counted lost', 'first cancelled']],
		['an exception of the first attempt', ['200 exception', '900 ok'], 'rejected: first', ['counted sent', 'first exception', 'recorded false', 'counted lost', 'hedge cancelled']],
	])('ends with %s', async (_name, scripts, result, expected) => {
		expect(await runRace(...scripts)).toBe(result);
		expect(events).toEqual(expected);
		expect(vi.getTimerCount()).toBe(0);
	});

	it('cancels both attempts when the caller leaves', async () => {
		expect(await runRace('900 ok', '900 ok', 300)).toBe('caller');
		expect(events).toEqual(['counted sent', 'first cancelled', 'hedge cancelled', 'recorded false', 'counted cancelled']);
	});
});
