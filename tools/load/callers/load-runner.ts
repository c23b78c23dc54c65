import {performance} from 'node:perf_hooks';
import {Agent, type Dispatcher} from 'undici';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {Emitter} from '../../../src/common/emitter.js';
import {HeaderName} from '../../../src/common/header-names.js';
import {Outcome} from '../../../src/common/outcome.js';
import type {Arrival} from './arrival.js';
import {CallOutcome} from './call-outcome.js';
import type {CallSample} from './call-sample.js';
import {createArrivals} from './create-arrivals.js';
import type {LoadPlan} from './load-plan.js';
import {RouteCache} from './route-cache.js';

type Destination = {readonly url: string; readonly instance: string};
type ReceivedResponse = {readonly status: number; readonly headers: Dispatcher.ResponseData['headers']; readonly text: string};

const statedOutcomes: ReadonlyMap<string, CallOutcome> = new Map([
	[Outcome.NotRun, CallOutcome.NotRun],
	[Outcome.Ran, CallOutcome.Ran],
	[Outcome.Unknown, CallOutcome.Unknown],
]);
const responseGraceMs = 5000;
const busyWaitMs = 2;

/** Waits until a time, or until `busyWaitMs` before it when spinning; at least one iteration of the event loop. */
const waitUntil = async (time: number, isSpinning: boolean): Promise<void> => {
	const remainingMs = time - performance.now();
	const sleepMs = isSpinning ? remainingMs - busyWaitMs : remainingMs;
	await new Promise<void>(resolve => {
		if (sleepMs > 0) {
			setTimeout(resolve, Math.ceil(sleepMs));
		} else {
			setImmediate(resolve);
		}
	});
};

/** Runs loads. In an open loop, each request is sent at its arrival time, whether or not earlier ones have ended. */
export class LoadRunner implements DisposableLike {
	private readonly _agent = new Agent({pipelining: 1, keepAliveTimeout: 30_000});
	private readonly _routeCaches = new Map<string, RouteCache>();
	private readonly _onSample = new Emitter<CallSample>();

	/** Fires when a request has ended. */
	get onSample() {
		return this._onSample.event;
	}

	/** Runs a load; resolves with one sample per request once all requests have ended. */
	async run(plan: LoadPlan): Promise<readonly CallSample[]> {
		const arrivals = createArrivals(plan);
		return plan.concurrency > 0 ? this._runClosedLoop(plan, arrivals) : this._runOpenLoop(plan, arrivals);
	}

	dispose(): void {
		this._onSample.dispose();
		void this._agent.destroy();
	}

	private async _runClosedLoop(plan: LoadPlan, arrivals: readonly Arrival[]): Promise<readonly CallSample[]> {
		const startedAt = performance.now();
		const samples: CallSample[] = [];
		let nextIndex = 0;
		const runLoop = async () => {
			while (performance.now() - startedAt < plan.durationMs) {
				const index = nextIndex++;
				const arrival = {...arrivals[index % arrivals.length]!, atMs: performance.now() - startedAt};
				samples.push(await this._call(plan, arrival, index, startedAt));
			}
		};

		await Promise.all(Array.from({length: plan.concurrency}, runLoop));
		return samples;
	}

	private async _runOpenLoop(plan: LoadPlan, arrivals: readonly Arrival[]): Promise<readonly CallSample[]> {
		const calls: Array<Promise<CallSample>> = [];
		const startedAt = performance.now();
		for (const [index, arrival] of arrivals.entries()) {
			const sendAt = startedAt + arrival.atMs + plan.oneWayDelayMs;
			while (performance.now() < sendAt) {
				await waitUntil(sendAt, plan.isSpinning);
			}

			calls.push(this._call(plan, arrival, index, startedAt));
		}

		if (!plan.isSpinning) {
			return Promise.all(calls);
		}

		return this._keepBusyUntil(Promise.all(calls));
	}

	/** Keeps the event loop busy, so that the last responses are timed like the earlier ones. */
	private async _keepBusyUntil<T>(work: Promise<T>): Promise<T> {
		let next: NodeJS.Immediate;
		const scheduleNext = () => {
			next = setImmediate(scheduleNext);
		};

		scheduleNext();
		try {
			return await work;
		} finally {
			clearImmediate(next!);
		}
	}

	private async _call(plan: LoadPlan, arrival: Arrival, index: number, startedAt: number): Promise<CallSample> {
		const sample = await this._measureCall(plan, arrival, index, startedAt);
		this._onSample.fire(sample);
		return sample;
	}

	private async _measureCall(plan: LoadPlan, arrival: Arrival, index: number, startedAt: number): Promise<CallSample> {
		const requestId = `${plan.name}-${plan.service}-${index}`;
		const sample = {
			service: plan.service, requestId, kind: arrival.kind, atMs: arrival.atMs,
		};
		let instance = '';
		try {
			const destinations = await this._listDestinations(plan, arrival);
			const {response, destination} = await this._sendToFirstReachable(plan, arrival, requestId, destinations);
			instance = destination.instance;
			const latencyMs = performance.now() - startedAt - arrival.atMs + plan.oneWayDelayMs;
			return {
				...sample, latencyMs, outcome: this._classifyResponse(response, requestId), status: response.status, instance,
			};
		} catch {
			return {
				...sample, latencyMs: performance.now() - startedAt - arrival.atMs + plan.oneWayDelayMs, outcome: CallOutcome.NoResponse, status: 0, instance,
			};
		}
	}

	private async _listDestinations(plan: LoadPlan, arrival: Arrival): Promise<readonly Destination[]> {
		if (plan.directUrls.length > 0) {
			const url = plan.directUrls[arrival.caller % plan.directUrls.length] ?? '';
			return [{url, instance: url}];
		}

		const route = await this._getRouteCache(plan, arrival.caller).getRoute();
		return route?.addresses.map(address => ({url: `http://${address.host}:${address.port}`, instance: address.instanceId})) ?? [];
	}

	private _getRouteCache(plan: LoadPlan, caller: number): RouteCache {
		const key = `${plan.routeUrls[0]} ${plan.service} ${caller}`;
		let cache = this._routeCaches.get(key);
		if (cache === undefined) {
			cache = new RouteCache({
				service: plan.service, domain: plan.domains[caller % plan.domains.length] ?? '', routeUrls: plan.routeUrls, firstIndex: caller,
			});
			this._routeCaches.set(key, cache);
		}

		return cache;
	}

	/** Sends the request to the first address that accepts a connection; a refused connection expires the cached route. */
	private async _sendToFirstReachable(plan: LoadPlan, arrival: Arrival, requestId: string, destinations: readonly Destination[]) {
		for (const destination of destinations) {
			try {
				return {response: await this._sendTo(plan, arrival, requestId, destination.url), destination};
			} catch (error) {
				if ((error as {code?: string}).code !== 'ECONNREFUSED') {
					throw error;
				}

				this._getRouteCache(plan, arrival.caller).expire();
			}
		}

		throw new Error('no address of the route accepts connections');
	}

	private async _sendTo(plan: LoadPlan, arrival: Arrival, requestId: string, origin: string): Promise<ReceivedResponse> {
		const kind = plan.kinds[arrival.kind]!;
		const response = await this._agent.request({
			origin,
			path: `${kind.path}${arrival.caller}`,
			method: kind.method,
			headers: {
				host: plan.service,
				'x-request-id': requestId,
				'x-service-ms': arrival.serviceMs.toFixed(2),
				[HeaderName.Timeout]: String(kind.deadlineMs),
				...(kind.method === 'POST' && {[HeaderName.IdempotencyKey]: requestId}),
			},
			body: kind.method === 'POST' ? `request=${requestId}` : undefined,
			headersTimeout: kind.deadlineMs + responseGraceMs,
			bodyTimeout: kind.deadlineMs + responseGraceMs,
		});
		return {status: response.statusCode, headers: response.headers, text: await response.body.text()};
	}

	private _classifyResponse({status, headers, text}: ReceivedResponse, requestId: string): CallOutcome {
		const statedOutcome = statedOutcomes.get(String(headers[HeaderName.Outcome]));
		if (statedOutcome !== undefined) {
			return statedOutcome;
		}

		if (status >= 500) {
			return CallOutcome.TargetError;
		}

		return text.includes(`"requestId":"${requestId}"`) ? CallOutcome.Complete : CallOutcome.Mismatched;
	}
}
