import type {Result} from 'neverthrow';
import {HeaderName} from '../common/header-names.js';
import type {RequestError} from '../common/request-error.js';
import type {BudgetController} from '../controllers/budget-controller.js';
import type {TargetResponse} from '../io/target-response.js';
import {isRetryable} from '../policy/schedule/is-retryable.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import {hasBody} from './has-body.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

const maxAttempts = 3;
const firstServerError = 500;

const hasHeader = (rawHeaders: readonly string[], lowerCaseName: string): boolean => rawHeaders.some((name, index) => index % 2 === 0 && name.toLowerCase() === lowerCaseName);

/**
Retries a request at another target, within the retry budget: after a failure that proves that the request did not run
and, if it is idempotent, after any failure of a target. In a chain of calls only the hop nearest the failure retries:
a response that is marked as retried and a request that is itself a retry are not retried again.
*/
export class RetryFilter implements Filter {
	constructor(private readonly _budgets: BudgetController) {}

	get name(): string {
		return 'retry';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const {service} = context;
		if (service === undefined) {
			return next(context);
		}

		this._budgets.recordFirstAttempt(service);
		const budget = this._budgets.getBudgets(service.name).retry;
		let result = await next(context);
		while (this._isFailure(result) && this._canRetry(context) && budget.tryTake()) {
			this._excludeFailedTarget(context, result);
			context.attempt++;
			result = await next(context);
		}

		if (this._isFailure(result)) {
			context.response.setHeader(HeaderName.Retried, 'true');
		}

		return result;
	}

	private _isFailure(result: Result<TargetResponse, RequestError>): boolean {
		if (result.isErr()) {
			return isRetryable(result.error.kind);
		}

		return result.value.status >= firstServerError && !hasHeader(result.value.rawHeaders, HeaderName.Retried);
	}

	private _canRetry(context: RequestContext): boolean {
		const {attempt, signal, isDispatched, rule, request} = context;
		if (attempt + 1 >= maxAttempts || signal.aborted || request.headers[HeaderName.Attempt] !== undefined) {
			return false;
		}

		return hasBody(request) ? !isDispatched && !request.readableDidRead : !isDispatched || (rule?.idempotent ?? false);
	}

	private _excludeFailedTarget(context: RequestContext, result: Result<TargetResponse, RequestError>): void {
		if (result.isOk()) {
			result.value.body.discard();
		}

		const target = context.lease?.target.id;
		if (target !== undefined && !context.excludedTargets.includes(target)) {
			context.excludedTargets.push(target);
		}
	}
}
