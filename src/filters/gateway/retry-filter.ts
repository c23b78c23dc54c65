import {err, type Result} from 'neverthrow';
import {ErrorKind} from '../../common/error-kind.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import type {GatewayRoute} from '../../common/gateway/gateway-route.js';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {Outcome} from '../../common/outcome.js';
import {RequestError} from '../../common/request-error.js';
import type {PlacementController} from '../../controllers/gateway/placement-controller.js';
import type {PlacementRequest} from '../../controllers/gateway/placement-request.js';
import type {AttemptRunner} from './attempt-runner.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayResult} from './gateway-result.js';

type RetryFilterOptions = {
	readonly placement: PlacementController;
	readonly runner: AttemptRunner;
};

/** Reason of the abort that cancels the loser of a race; the default one would capture a stack trace for each request. */
const raceEnded = new RequestError(ErrorKind.CallerGone, 'another attempt has ended the request');

type AttemptResult = Result<BufferedResponse, RequestError>;

/** Shortest retry-after time of a request that targets refused although slots are free, in ms. */
const minRefusedRetryAfterMs = 50;
/** Fraction of a route's objective after which an idempotent request is also sent to a second, idle target. */
const hedgeDelayFraction = 0.6;
/** Fraction of the objective after which the filter looks for an idle target again if it could not hedge. */
const hedgeRecheckFraction = 0.2;
/**
Attempts per request, refused ones included; a hedge counts as part of the first attempt. The route's `maxAttempts`, in contrast, counts
every target tried, hedges included, and limits only retries of a request that an earlier attempt may have run; below 2 it also rules out a hedge.
*/
const maxTotalAttempts = 4;

/**
Sends the request to a target and retries it: after a failure that proves that the request did not run and, if it is idempotent, after
any failure. An idempotent request whose first target is slow is hedged. Retries and hedges share the service's retry budget.
*/
export class RetryFilter implements GatewayFilter {
	constructor(private readonly _options: RetryFilterOptions) {}

	get name(): string {
		return 'repeat';
	}

	async handleRequest(context: GatewayContext): GatewayResult {
		const {route} = context;
		if (route === undefined) {
			return err(new RequestError(ErrorKind.InternalQueued, 'the request has no route'));
		}

		this._options.placement.addRequest(context.service);
		let result = await this._runWithHedge(context, route);
		for (let attemptCount = 1; this._isFailure(result) && attemptCount < maxTotalAttempts && this._tryTakeRetry(context, route); attemptCount++) {
			result = await this._runAttempt(context, route);
		}

		return result.mapErr(error => this._addRetryAfter(error, context.service, route.priority));
	}

	/** Runs the first attempt and, if an idempotent request takes long, a second one in parallel; the first success wins and cancels the other. */
	private async _runWithHedge(context: GatewayContext, route: GatewayRoute): Promise<AttemptResult> {
		if (!route.isIdempotent || route.maxAttempts < 2) {
			return this._runAttempt(context, route);
		}

		// Both attempts end when the race is over or the request is aborted; combining the signals would cost more.
		const raceController = new AbortController();
		const abortRace = () => {
			raceController.abort(context.signal.reason);
		};

		if (context.signal.aborted) {
			abortRace();
		}

		context.signal.addEventListener('abort', abortRace, {once: true});
		const firstAttempt = this._runAttempt(context, route, raceController.signal);
		return new Promise((resolve, reject) => {
			let isHedged = false;
			// While the other attempt runs, one failure is not final; if both fail, the later result is returned.
			let ignoredFailure: AttemptResult | undefined;
			const settle = (result: AttemptResult) => {
				if (this._isFailure(result) && isHedged && ignoredFailure === undefined) {
					ignoredFailure = result;
					return;
				}

				clearTimeout(timer);
				resolve(result);
				context.signal.removeEventListener('abort', abortRace);
				raceController.abort(raceEnded);
			};

			const sendHedge = async () => {
				// A hedge does not speed up a request that still waits for its first target.
				const lease = context.attemptedTargets.length === 0 ? undefined : await this._options.placement.tryAcquire(this._createPlacementRequest(context, route, raceController.signal));
				if (lease === undefined || raceController.signal.aborted || !this._options.placement.tryTakeRetry(context.service)) {
					lease?.release(AttemptEnd.Unused);
					scheduleHedge(hedgeRecheckFraction);
					return;
				}

				isHedged = true;
				settle(await this._options.runner.run(context, lease, raceController.signal));
			};

			// An exception ends the race like a final failure, so that neither the request nor the process is left with it.
			const runOrFail = async (run: () => Promise<void>) => {
				try {
					await run();
				} catch (error) {
					clearTimeout(timer);
					context.signal.removeEventListener('abort', abortRace);
					raceController.abort(raceEnded);
					reject(error instanceof Error ? error : new Error(String(error)));
				}
			};

			const scheduleHedge = (delayFraction: number) => {
				if (!raceController.signal.aborted && !context.signal.aborted) {
					timer = setTimeout(() => {
						void runOrFail(sendHedge);
					}, route.objectiveMs * delayFraction);
				}
			};

			let timer: NodeJS.Timeout | undefined;
			scheduleHedge(hedgeDelayFraction);
			void runOrFail(async () => {
				settle(await firstAttempt);
			});
		});
	}

	private async _runAttempt(context: GatewayContext, route: GatewayRoute, signal = context.signal): Promise<AttemptResult> {
		const leaseResult = await this._options.placement.acquire(this._createPlacementRequest(context, route, signal));
		return leaseResult.isErr() ? err(leaseResult.error) : this._options.runner.run(context, leaseResult.value, signal);
	}

	private _createPlacementRequest(context: GatewayContext, route: GatewayRoute, signal: AbortSignal): PlacementRequest {
		return {
			service: context.service, priority: route.priority, objectiveAt: context.objectiveAt, deadlineAt: context.deadlineAt, excludedTargets: context.attemptedTargets, bodyBytes: context.body.length, signal,
		};
	}

	private _isFailure(result: AttemptResult): boolean {
		return result.isErr() || result.value.status >= 500;
	}

	/** Whether the request may be retried; if so, takes the retry from the service's budget, unless nothing was sent to any target yet. */
	private _tryTakeRetry(context: GatewayContext, route: GatewayRoute): boolean {
		const {ledger, signal, attemptedTargets} = context;
		if (signal.aborted || attemptedTargets.length === 0 || !ledger.canBeginAttempt(route.isIdempotent)) {
			return false;
		}

		const isProvenNotRun = ledger.outcome === Outcome.NotRun;
		return (isProvenNotRun || attemptedTargets.length < route.maxAttempts) && (context.sentCount === 0 || this._options.placement.tryTakeRetry(context.service));
	}

	/** A target's refusal says nothing of the others, so the caller may come back as soon as a slot is expected to be free. */
	private _addRetryAfter(error: RequestError, service: string, priority: number): RequestError {
		return error.kind === ErrorKind.TargetRefused || error.kind === ErrorKind.ConnectFailed
			? new RequestError(error.kind, error.detail, Math.max(minRefusedRetryAfterMs, this._options.placement.predictWaitMs(service, priority)))
			: error;
	}
}
