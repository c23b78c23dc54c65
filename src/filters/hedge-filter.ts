import type {Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {HeaderName} from '../common/header-names.js';
import {RequestError} from '../common/request-error.js';
import {RequestSize} from '../common/request-size.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {SlotScheduler} from '../common/slot-scheduler.js';
import type {BudgetController} from '../controllers/budget-controller.js';
import type {TargetResponse} from '../io/target-response.js';
import {createSlotDemand} from './create-slot-demand.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import {hasBody} from './has-body.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

type AttemptResult = Result<TargetResponse, RequestError>;
type FinishedAttempt = {readonly context: RequestContext; readonly result: AttemptResult};

const isUsable = (result: AttemptResult): boolean => result.isOk() && result.value.status < 500;

/** Hedges slow requests: sends a short idempotent request that takes long to a second target with a free slot, within the hedge budget, and cancels the slower attempt. */
export class HedgeFilter implements Filter {
	constructor(private readonly _scheduler: SlotScheduler, private readonly _budgets: BudgetController) {}

	get name(): string {
		return 'hedge';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const {service} = context;
		if (service === undefined || !this._canHedge(context)) {
			return next(context);
		}

		const firstContext = context.createAttemptContext(context.attempt);
		firstContext.lease = context.lease;
		const firstAttempt = this._runAttempt(firstContext, next);
		const finished = await this._waitUntilHedgeDue(firstAttempt, service.hedgeAfterMs);
		if (finished !== undefined) {
			return finished.result;
		}

		const hedgeContext = this._tryPrepareHedge(context, service);
		return hedgeContext === undefined ? this._getResult(await firstAttempt) : this._raceAttempts(context, [firstAttempt, this._runAttempt(hedgeContext, next)], [firstContext, hedgeContext]);
	}

	private _canHedge({rule, attempt, request}: RequestContext): boolean {
		return rule !== undefined && rule.idempotent && rule.size !== RequestSize.Long && attempt === 0 && !hasBody(request) && request.headers[HeaderName.Attempt] === undefined;
	}

	private async _runAttempt(context: RequestContext, next: NextFilter): Promise<FinishedAttempt> {
		return {context, result: await next(context)};
	}

	private _getResult({result}: FinishedAttempt): AttemptResult {
		return result;
	}

	/** Resolves with the attempt if it ends within the delay, else with undefined. */
	private async _waitUntilHedgeDue(attempt: Promise<FinishedAttempt>, delayMs: number): Promise<FinishedAttempt | undefined> {
		let timer: NodeJS.Timeout | undefined;
		const delay = new Promise<undefined>(resolve => {
			timer = setTimeout(resolve, delayMs, undefined);
		});
		const finished = await Promise.race([attempt, delay]);
		clearTimeout(timer);
		return finished;
	}

	private _tryPrepareHedge(context: RequestContext, service: ServiceSpec): RequestContext | undefined {
		const budget = this._budgets.getBudgets(service.name).hedge;
		const demand = createSlotDemand(context);
		if (context.signal.aborted || demand === undefined || !budget.tryTake()) {
			return undefined;
		}

		const usedTargets = context.lease === undefined ? [] : [context.lease.target.id];
		const lease = this._scheduler.tryAcquireSlot({...demand, attempt: context.attempt + 1, excludedTargets: [...context.excludedTargets, ...usedTargets]});
		if (lease === undefined) {
			budget.returnToken();
			return undefined;
		}

		const hedgeContext = context.createAttemptContext(context.attempt + 1);
		hedgeContext.lease = lease;
		return hedgeContext;
	}

	/** Takes the first usable response and aborts the other attempt. If neither is usable, takes the earlier result if it is a response, else the later one. */
	private async _raceAttempts(context: RequestContext, attempts: ReadonlyArray<Promise<FinishedAttempt>>, contexts: readonly RequestContext[]): FilterResult {
		const earlier = await Promise.race(attempts);
		const winner = isUsable(earlier.result) ? earlier : await this._waitForOther(attempts, earlier);
		context.lease = winner.context.lease;
		for (const attemptContext of contexts) {
			if (attemptContext !== winner.context) {
				attemptContext.abort(new RequestError(ErrorKind.CallerGone, 'another attempt responded first'));
			}
		}

		return winner.result;
	}

	private async _waitForOther(attempts: ReadonlyArray<Promise<FinishedAttempt>>, earlier: FinishedAttempt): Promise<FinishedAttempt> {
		const finishedAttempts = await Promise.all(attempts);
		const later = finishedAttempts.find(attempt => attempt.context !== earlier.context) ?? earlier;
		if (!isUsable(later.result) && earlier.result.isOk()) {
			if (later.result.isOk()) {
				later.result.value.body.discard();
			}

			return earlier;
		}

		if (earlier.result.isOk()) {
			earlier.result.value.body.discard();
		}

		return later;
	}
}
