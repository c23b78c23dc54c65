import {ErrorKind} from '../common/error-kind.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

const maxAttempts = 3;

/** Tries again after a failure that proves that the request did not run. */
export class RetryFilter implements Filter {
	get name(): string {
		return 'retry';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		let result = await next(context);
		while (result.isErr() && this._isRetryable(result.error.kind) && context.attempt + 1 < maxAttempts && !context.signal.aborted && !context.isDispatched) {
			context.attempt++;
			result = await next(context);
		}

		return result;
	}

	private _isRetryable(kind: ErrorKind): boolean {
		return kind === ErrorKind.ConnectFailed || kind === ErrorKind.TargetRefused;
	}
}
