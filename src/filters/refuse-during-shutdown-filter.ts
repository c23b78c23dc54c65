import {err, type Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {ShutdownController} from '../controllers/shutdown-controller.js';
import type {TargetResponse} from '../io/target-response.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';

type RefuseDuringShutdownOptions<Context> = {
	readonly shutdown: Pick<ShutdownController, 'isAcceptingRequests' | 'abortAt'>;
	readonly isIdempotent: (context: Context) => boolean;
};

/** Retry-After of a refused request, in ms; short, because another instance can take the request at once. */
const shutdownRetryAfterMs = 50;

/** Refuses, during a graceful shutdown, requests that arrive when the instance no longer accepts any, and requests that are not idempotent and could be aborted at its end. */
export class RefuseDuringShutdownFilter<Context extends {readonly deadlineAt: number} = RequestContext, ChainResponse = TargetResponse> implements Filter<Context, ChainResponse> {
	constructor(private readonly _options: RefuseDuringShutdownOptions<Context>) {}

	get name(): string {
		return 'stop';
	}

	async handleRequest(context: Context, next: (context: Context) => Promise<Result<ChainResponse, RequestError>>): Promise<Result<ChainResponse, RequestError>> {
		const {shutdown, isIdempotent} = this._options;
		if (!shutdown.isAcceptingRequests) {
			return err(new RequestError(ErrorKind.ShuttingDown, 'the instance is stopping and accepts no more requests', shutdownRetryAfterMs));
		}

		return context.deadlineAt > shutdown.abortAt && !isIdempotent(context)
			? err(new RequestError(ErrorKind.ShuttingDown, 'the instance is stopping and could end before the request', shutdownRetryAfterMs))
			: next(context);
	}
}
