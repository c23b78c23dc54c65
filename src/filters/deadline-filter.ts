import {err} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import {ErrorKind} from '../common/error-kind.js';
import {HeaderName} from '../common/header-names.js';
import {RequestError} from '../common/request-error.js';
import {computeTimeoutMs} from '../policy/compute-timeout-ms.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Sets the deadline of the request and aborts the request when it expires. */
export class DeadlineFilter implements Filter {
	constructor(private readonly _clock: Clock) {}

	get name(): string {
		return 'deadline';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const {request, response} = context;
		const headerValue = request.headers[HeaderName.Timeout];
		const timeoutMs = computeTimeoutMs(context.rule?.deadlineMs ?? 0, Array.isArray(headerValue) ? headerValue[0] : headerValue);
		if (timeoutMs === undefined) {
			return err(new RequestError(ErrorKind.MalformedRequest, `header ${HeaderName.Timeout}: "${String(headerValue)}" is not a whole number of ms`));
		}

		context.deadlineAt = context.receivedAt + timeoutMs;
		const timer = setTimeout(() => {
			const kind = context.isDispatched ? ErrorKind.DeadlineExpiredDispatched : ErrorKind.DeadlineExpiredQueued;
			context.abort(new RequestError(kind, `no complete response within ${timeoutMs} ms`));
		}, context.deadlineAt - this._clock.now());
		response.once('close', () => {
			clearTimeout(timer);
		});
		return next(context);
	}
}
