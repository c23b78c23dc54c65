import type {Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {HeaderName} from '../common/header-names.js';
import {RequestError} from '../common/request-error.js';
import {RequestSize} from '../common/request-size.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {SlotScheduler} from '../common/slot-scheduler.js';
import type {BudgetController} from '../controllers/budget-controller.js';
import type {TargetAnswer} from '../io/target-answer.js';
import {createDemand} from './create-demand.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import {hasBody} from './has-body.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

type Answered = Result<TargetAnswer, RequestError>;
type Race = {readonly context: RequestContext; readonly result: Answered};

const isUsable = (result: Answered): boolean => result.isOk() && result.value.status < 500;

/** Sends a short idempotent request that takes long to a second target with a free slot, within the budget, and cancels the slower try. */
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

		const first = context.createAttempt(context.attempt);
		first.lease = context.lease;
		const running = this._runTry(first, next);
		const early = await this._waitForHedge(running, service.hedgeAfterMs);
		if (early !== undefined) {
			return early.result;
		}

		const second = this._startSecond(context, service);
		return second === undefined ? this._takeResult(await running) : this._race(context, [running, this._runTry(second, next)], [first, second]);
	}

	private _canHedge({rule, attempt, request}: RequestContext): boolean {
		return rule !== undefined && rule.idempotent && rule.size !== RequestSize.Long && attempt === 0 && !hasBody(request) && request.headers[HeaderName.Attempt] === undefined;
	}

	private async _runTry(context: RequestContext, next: NextFilter): Promise<Race> {
		return {context, result: await next(context)};
	}

	private _takeResult({result}: Race): Answered {
		return result;
	}

	/** Resolves with the first try if it ends before the delay, else with undefined. */
	private async _waitForHedge(running: Promise<Race>, delayMs: number): Promise<Race | undefined> {
		let timer: NodeJS.Timeout | undefined;
		const delay = new Promise<undefined>(resolve => {
			timer = setTimeout(resolve, delayMs, undefined);
		});
		const early = await Promise.race([running, delay]);
		clearTimeout(timer);
		return early;
	}

	private _startSecond(context: RequestContext, service: ServiceSpec): RequestContext | undefined {
		const budget = this._budgets.getBudgets(service.name).hedge;
		const demand = createDemand(context);
		if (context.signal.aborted || demand === undefined || !budget.tryTake()) {
			return undefined;
		}

		const used = context.lease === undefined ? [] : [context.lease.target.id];
		const lease = this._scheduler.tryAcquireSlot({...demand, attempt: context.attempt + 1, excludedTargets: [...context.excludedTargets, ...used]});
		if (lease === undefined) {
			budget.giveBack();
			return undefined;
		}

		const second = context.createAttempt(context.attempt + 1);
		second.lease = lease;
		return second;
	}

	/** Takes the first usable answer, the later one where neither is, and ends the other try. */
	private async _race(context: RequestContext, running: ReadonlyArray<Promise<Race>>, tries: readonly RequestContext[]): FilterResult {
		const early = await Promise.race(running);
		const winner = isUsable(early.result) ? early : await this._waitForOther(running, early);
		context.lease = winner.context.lease;
		for (const other of tries) {
			if (other !== winner.context) {
				other.abort(new RequestError(ErrorKind.CallerGone, 'another try answered first'));
			}
		}

		return winner.result;
	}

	private async _waitForOther(running: ReadonlyArray<Promise<Race>>, early: Race): Promise<Race> {
		const races = await Promise.all(running);
		const other = races.find(race => race.context !== early.context) ?? early;
		if (!isUsable(other.result) && early.result.isOk()) {
			if (other.result.isOk()) {
				other.result.value.body.discard();
			}

			return early;
		}

		if (early.result.isOk()) {
			early.result.value.body.discard();
		}

		return other;
	}
}
