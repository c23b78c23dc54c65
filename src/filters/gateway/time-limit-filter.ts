import {err} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import {ErrorKind} from '../../common/error-kind.js';
import type {GatewayRoute} from '../../common/gateway/gateway-route.js';
import {RequestError} from '../../common/request-error.js';
import type {CallerWatch} from '../../io/caller-watch.js';
import {parseTimeoutMs} from '../../policy/gateway/parse-timeout-ms.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

type TimeLimitFilterOptions = {
	readonly clock: Clock;
	readonly callerWatch: CallerWatch;
	/** Name, in lower case, of the header in which a caller states how long it waits for the response, in ms. */
	readonly timeoutHeader: string;
};

/** Longest timeout of a caller that is taken for the usual one of a route, as a factor of the route's own; otherwise a single caller could make all others seem late. */
const maxTimeoutFactor = 10;

/** Sets the deadline of a request, the earlier of the caller's and the route's, and aborts the request when it expires or the caller disconnects. */
export class TimeLimitFilter implements GatewayFilter {
	/** Longest timeout that callers have stated for each route, in ms. */
	private readonly _longestTimeoutsMs = new WeakMap<GatewayRoute, number>();

	constructor(private readonly _options: TimeLimitFilterOptions) {}

	get name(): string {
		return 'time-limit';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		const {clock, callerWatch, timeoutHeader} = this._options;
		const headerValue = context.request.headers[timeoutHeader];
		const callerTimeoutMs = headerValue === undefined ? Number.POSITIVE_INFINITY : parseTimeoutMs(headerValue);
		if (callerTimeoutMs === undefined) {
			return err(new RequestError(ErrorKind.MalformedRequest, `header ${timeoutHeader}: "${String(headerValue)}" is not a number of ms`));
		}

		const effectiveTimeoutMs = Math.min(callerTimeoutMs, context.route?.timeoutMs ?? 0);
		context.deadlineAt = context.receivedAt + effectiveTimeoutMs;
		context.objectiveAt = context.receivedAt + (context.route?.objectiveMs ?? 0) - this._estimateElapsedMs(context.route, callerTimeoutMs);
		const timer = setTimeout(() => {
			const kind = context.isDispatched ? ErrorKind.DeadlineExpiredDispatched : ErrorKind.DeadlineExpiredQueued;
			context.abort(new RequestError(kind, `no complete response within ${effectiveTimeoutMs} ms`));
		}, context.deadlineAt - clock.now());
		const handleDisconnect = () => {
			clearTimeout(timer);
			if (!context.response.writableFinished) {
				context.callerLeftAt ??= clock.now();
				context.abort(new RequestError(ErrorKind.CallerGone, 'the caller closed the connection'));
			}
		};

		const subscription = callerWatch.watch(context.request.socket, handleDisconnect);
		// After a connection reset, the response emits `close` before the socket does.
		context.response.once('close', () => {
			subscription.dispose();
			handleDisconnect();
		});
		return next(context);
	}

	/** Estimates the time since the caller's first attempt, in ms: a caller's retry states a shorter timeout than the longest one stated for the route. */
	private _estimateElapsedMs(route: GatewayRoute | undefined, callerTimeoutMs: number): number {
		if (route === undefined || callerTimeoutMs > route.timeoutMs * maxTimeoutFactor) {
			return 0;
		}

		const longestMs = Math.max(callerTimeoutMs, this._longestTimeoutsMs.get(route) ?? 0);
		this._longestTimeoutsMs.set(route, longestMs);
		return longestMs - callerTimeoutMs;
	}
}
