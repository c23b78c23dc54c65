import {err, type Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {TargetAnswer} from '../io/target-answer.js';
import {convertError} from '../policy/convert-error.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Makes every error of the later filters, exceptions included, state the outcome that the ledger knows. */
export class OutcomeFilter implements Filter {
	get name(): string {
		return 'outcome';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const result = await this._run(context, next);
		return result.mapErr(error => convertError(error, context.ledger.outcome));
	}

	private async _run(context: RequestContext, next: NextFilter): Promise<Result<TargetAnswer, RequestError>> {
		try {
			return await next(context);
		} catch (error) {
			return err(new RequestError(ErrorKind.InternalQueued, (error as Error).message));
		}
	}
}
