import {err, type Result} from 'neverthrow';
import type {RequestError} from '../common/request-error.js';
import type {ShutdownController} from '../controllers/shutdown-controller.js';
import type {TargetResponse} from '../io/target-response.js';
import {findShutdownRefusal} from '../policy/find-shutdown-refusal.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';

type RefuseDuringShutdownOptions<Context> = {
	readonly shutdown: Pick<ShutdownController, 'isAcceptingRequests' | 'abortAt'>;
	readonly isIdempotent: (context: Context) => boolean;
};

/** Refuses, during a graceful shutdown, requests that arrive when the instance no longer accepts any, and requests that are not idempotent and could be aborted at its end. */
export class RefuseDuringShutdownFilter<Context extends {readonly deadlineAt: number} = RequestContext, ChainResponse = TargetResponse> implements Filter<Context, ChainResponse> {
	constructor(private readonly _options: RefuseDuringShutdownOptions<Context>) {}

	get name(): string {
		return 'stop';
	}

	async handleRequest(context: Context, next: (context: Context) => Promise<Result<ChainResponse, RequestError>>): Promise<Result<ChainResponse, RequestError>> {
		const {shutdown, isIdempotent} = this._options;
		const refusal = findShutdownRefusal(shutdown, context.deadlineAt, isIdempotent(context));
		return refusal === undefined ? next(context) : err(refusal);
	}
}
