import {err, type Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import {describeFailure} from '../io/describe-failure.js';
import type {TargetResponse} from '../io/target-response.js';
import {alignErrorWithOutcome} from '../policy/align-error-with-outcome.js';
import type {OutcomeLedger} from '../policy/outcome-ledger.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';

type ContextWithLedger = {readonly ledger: OutcomeLedger};

/** Converts every error of the later filters, exceptions included, to one that states the outcome recorded in the ledger. */
export class OutcomeFilter<Context extends ContextWithLedger = RequestContext, ChainResponse = TargetResponse> implements Filter<Context, ChainResponse> {
	get name(): string {
		return 'outcome';
	}

	async handleRequest(context: Context, next: (context: Context) => Promise<Result<ChainResponse, RequestError>>): Promise<Result<ChainResponse, RequestError>> {
		const result = await this._run(context, next);
		return result.mapErr(error => alignErrorWithOutcome(error, context.ledger.outcome));
	}

	private async _run(context: Context, next: (context: Context) => Promise<Result<ChainResponse, RequestError>>): Promise<Result<ChainResponse, RequestError>> {
		try {
			return await next(context);
		} catch (error) {
			return err(new RequestError(ErrorKind.InternalQueued, describeFailure(error).detail));
		}
	}
}
