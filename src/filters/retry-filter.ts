import type {Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import type {RequestError} from '../common/request-error.js';
import type {TargetAnswer} from '../io/target-answer.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';

const maxAttempts = 3;

/** Tries again after a failure that proves that the request did not run. */
export class RetryFilter implements Filter {
	get name(): string {
		return 'retry';
	}

	async handleRequest(context: RequestContext, next: () => Promise<Result<TargetAnswer, RequestError>>): Promise<Result<TargetAnswer, RequestError>> {
		let result = await next();
		while (result.isErr() && this._isRetryable(result.error.kind) && context.attempt + 1 < maxAttempts && !context.signal.aborted && !context.isDispatched) {
			context.attempt++;
			result = await next();
		}

		return result;
	}

	private _isRetryable(kind: ErrorKind): boolean {
		return kind === ErrorKind.ConnectFailed || kind === ErrorKind.TargetRefused;
	}
}
