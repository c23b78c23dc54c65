import {err, type Result} from 'neverthrow';
import {ErrorKind} from '../../common/error-kind.js';
import type {GatewayRoute} from '../../common/gateway/gateway-route.js';
import type {BufferedResponse} from '../../common/gateway/buffered-response.js';
import {Outcome} from '../../common/outcome.js';
import {RequestError} from '../../common/request-error.js';
import type {HedgeSource} from '../../controllers/gateway/hedge-source.js';
import type {PlacementController} from '../../controllers/gateway/placement-controller.js';
import type {PlacementRequest} from '../../controllers/gateway/placement-request.js';
import type {AttemptRunner} from './attempt-runner.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayResult} from './gateway-result.js';
import {HedgeRace} from './hedge-race.js';

type RetryFilterOptions = {
	readonly placement: PlacementController;
	readonly hedges: HedgeSource;
	readonly runner: AttemptRunner;
};

type AttemptResult = Result<BufferedResponse, RequestError>;

/** Shortest retry-after time of a request that targets refused although slots are free, in ms. */
const minRefusedRetryAfterMs = 50;
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
		this._options.hedges.addRequest(context.service);
		let result = await this._runFirstAttempt(context, route);
		for (let attemptCount = 1; this._isFailure(result) && attemptCount < maxTotalAttempts && this._tryTakeRetry(context, route); attemptCount++) {
			result = await this._runAttempt(context, route);
		}

		return result.mapErr(error => this._addRetryAfter(error, context.service, route.priority));
	}

	/** Runs the first attempt and, if an idempotent request takes long, a hedge beside it. */
	private async _runFirstAttempt(context: GatewayContext, route: GatewayRoute): Promise<AttemptResult> {
		const {hedges, placement, runner} = this._options;
		if (hedges.isOff || !route.isIdempotent || route.maxAttempts < 2) {
			return this._runAttempt(context, route);
		}

		return new HedgeRace({
			source: hedges,
			callerSignal: context.signal,
			objectiveMs: route.objectiveMs,
			createPlacement: signal => this._createPlacementRequest(context, route, signal),
			async runFirst(request, onPlaced) {
				const lease = await placement.acquire(request);
				if (lease.isErr()) {
					return err(lease.error);
				}

				onPlaced();
				return runner.run(context, lease.value, request.signal);
			},
			runHedge: async (lease, signal) => runner.run(context, lease, signal),
			isFailure: result => this._isFailure(result),
		}).run();
	}

	private async _runAttempt(context: GatewayContext, route: GatewayRoute): Promise<AttemptResult> {
		const {signal} = context;
		const leaseResult = await this._options.placement.acquire(this._createPlacementRequest(context, route, signal));
		return leaseResult.isErr() ? err(leaseResult.error) : this._options.runner.run(context, leaseResult.value, signal);
	}

	private _createPlacementRequest(context: GatewayContext, route: GatewayRoute, signal: AbortSignal): PlacementRequest {
		return {
			service: context.service,
			priority: route.priority,
			objectiveAt: context.objectiveAt,
			deadlineAt: context.deadlineAt,
			excludedTargets: context.attemptedTargets,
			bodyBytes: context.body.length,
			signal,
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
