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
type Exchange = {readonly status: number; readonly headers: Dispatcher.ResponseData['headers']; readonly text: string};

const outcomes: ReadonlyMap<string, CallOutcome> = new Map([
	[Outcome.NotRun, CallOutcome.NotRun],
	[Outcome.Ran, CallOutcome.Ran],
	[Outcome.Unknown, CallOutcome.Unknown],
]);
const patienceMs = 5000;
const spinMs = 2;

/** Waits for the next turn of the event loop, or until shortly before a time. */
const waitUntil = async (time: number, isSpinning: boolean): Promise<void> => {
	const leftMs = time - performance.now();
	const sleepMs = isSpinning ? leftMs - spinMs : leftMs;
	await new Promise<void>(resolve => {
		if (sleepMs > 0) {
			setTimeout(resolve, Math.ceil(sleepMs));
		} else {
			setImmediate(resolve);
		}
	});
};

/** Carries out a load: sends each request at its time whatever has become of those before it. */
export class LoadRunner implements DisposableLike {
	private readonly _agent = new Agent({pipelining: 1, keepAliveTimeout: 30_000});
	private readonly _routes = new Map<string, RouteCache>();
	private readonly _onSample = new Emitter<CallSample>();

	/** Fires when a request has ended. */
	get onSample() {
		return this._onSample.event;
	}

	/** Runs a load to its end; resolves with one sample a request once all have ended. */
	async run(plan: LoadPlan): Promise<readonly CallSample[]> {
		const arrivals = createArrivals(plan);
		return plan.concurrency > 0 ? this._runClosed(plan, arrivals) : this._runOpen(plan, arrivals);
	}

	dispose(): void {
		this._onSample.dispose();
		void this._agent.destroy();
	}

	private async _runClosed(plan: LoadPlan, arrivals: readonly Arrival[]): Promise<readonly CallSample[]> {
		const startedAt = performance.now();
		const samples: CallSample[] = [];
		let next = 0;
		const runLoop = async () => {
			while (performance.now() - startedAt < plan.durationMs) {
				const index = next++;
				const arrival = {...arrivals[index % arrivals.length]!, atMs: performance.now() - startedAt};
				samples.push(await this._call(plan, arrival, index, startedAt));
			}
		};

		await Promise.all(Array.from({length: plan.concurrency}, runLoop));
		return samples;
	}

	private async _runOpen(plan: LoadPlan, arrivals: readonly Arrival[]): Promise<readonly CallSample[]> {
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

		return this._spinUntil(Promise.all(calls));
	}

	/** Keeps the processor busy, so that the last answers are timed like the others. */
	private async _spinUntil<T>(work: Promise<T>): Promise<T> {
		let next: NodeJS.Immediate;
		const spin = () => {
			next = setImmediate(spin);
		};

		spin();
		try {
			return await work;
		} finally {
			clearImmediate(next!);
		}
	}

	private async _call(plan: LoadPlan, arrival: Arrival, index: number, startedAt: number): Promise<CallSample> {
		const sample = await this._callOnce(plan, arrival, index, startedAt);
		this._onSample.fire(sample);
		return sample;
	}

	private async _callOnce(plan: LoadPlan, arrival: Arrival, index: number, startedAt: number): Promise<CallSample> {
		const requestId = `${plan.name}-${plan.service}-${index}`;
		const sample = {
			service: plan.service, requestId, kind: arrival.kind, atMs: arrival.atMs,
		};
		let instance = '';
		try {
			const destinations = await this._listDestinations(plan, arrival);
			const {exchange, destination} = await this._send(plan, arrival, requestId, destinations);
			instance = destination.instance;
			const latencyMs = performance.now() - startedAt - arrival.atMs + plan.oneWayDelayMs;
			return {
				...sample, latencyMs, outcome: this._classify(exchange, requestId), status: exchange.status, instance,
			};
		} catch {
			return {
				...sample, latencyMs: performance.now() - startedAt - arrival.atMs + plan.oneWayDelayMs, outcome: CallOutcome.NoAnswer, status: 0, instance,
			};
		}
	}

	private async _listDestinations(plan: LoadPlan, arrival: Arrival): Promise<readonly Destination[]> {
		if (plan.directUrls.length > 0) {
			const url = plan.directUrls[arrival.caller % plan.directUrls.length] ?? '';
			return [{url, instance: url}];
		}

		const answer = await this._getRoute(plan, arrival.caller).getAnswer();
		return answer?.addresses.map(address => ({url: `http://${address.host}:${address.port}`, instance: address.instanceId})) ?? [];
	}

	private _getRoute(plan: LoadPlan, caller: number): RouteCache {
		const key = `${plan.routeUrls[0]} ${plan.service} ${caller}`;
		let route = this._routes.get(key);
		if (route === undefined) {
			route = new RouteCache({
				service: plan.service, domain: plan.domains[caller % plan.domains.length] ?? '', routeUrls: plan.routeUrls, first: caller,
			});
			this._routes.set(key, route);
		}

		return route;
	}

	/** Sends the request to the first address that accepts a connection. */
	private async _send(plan: LoadPlan, arrival: Arrival, requestId: string, destinations: readonly Destination[]) {
		for (const destination of destinations) {
			try {
				return {exchange: await this._exchange(plan, arrival, requestId, destination.url), destination};
			} catch (error) {
				if ((error as {code?: string}).code !== 'ECONNREFUSED') {
					throw error;
				}

				this._getRoute(plan, arrival.caller).clear();
			}
		}

		throw new Error('no address accepts connections');
	}

	private async _exchange(plan: LoadPlan, arrival: Arrival, requestId: string, origin: string): Promise<Exchange> {
		const kind = plan.kinds[arrival.kind]!;
		const answer = await this._agent.request({
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
			headersTimeout: kind.deadlineMs + patienceMs,
			bodyTimeout: kind.deadlineMs + patienceMs,
		});
		return {status: answer.statusCode, headers: answer.headers, text: await answer.body.text()};
	}

	private _classify({status, headers, text}: Exchange, requestId: string): CallOutcome {
		const stated = outcomes.get(String(headers[HeaderName.Outcome]));
		if (stated !== undefined) {
			return stated;
		}

		if (status >= 500) {
			return CallOutcome.TargetError;
		}

		return text.includes(`"requestId":"${requestId}"`) ? CallOutcome.Whole : CallOutcome.Mixed;
	}
}
