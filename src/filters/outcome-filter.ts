import {err, type Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {TargetAnswer} from '../io/target-answer.js';
import {convertError} from '../policy/convert-error.js';
import type {OutcomeLedger} from '../policy/outcome-ledger.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';

type Judged = {readonly ledger: OutcomeLedger};

/** Makes every error of the later filters, exceptions included, state the outcome that the ledger knows. */
export class OutcomeFilter<Context extends Judged = RequestContext, Answer = TargetAnswer> implements Filter<Context, Answer> {
	get name(): string {
		return 'outcome';
	}

	async handleRequest(context: Context, next: (context: Context) => Promise<Result<Answer, RequestError>>): Promise<Result<Answer, RequestError>> {
		const result = await this._run(context, next);
		return result.mapErr(error => convertError(error, context.ledger.outcome));
	}

	private async _run(context: Context, next: (context: Context) => Promise<Result<Answer, RequestError>>): Promise<Result<Answer, RequestError>> {
		try {
			return await next(context);
		} catch (error) {
			return err(new RequestError(ErrorKind.InternalQueued, (error as Error).message));
		}
	}
}
