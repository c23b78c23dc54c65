import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';

type ShutdownState = {
	/** Whether new requests are accepted. */
	readonly isAcceptingRequests: boolean;
	/** Time at which requests that are still in flight are aborted, in ms; infinite before a shutdown. */
	readonly abortAt: number;
};

/** Retry-After of a refused request, in ms; short, because another instance can take the request at once. */
const shutdownRetryAfterMs = 50;

/** Finds the reason for which a request has to be refused during a graceful shutdown; undefined when there is none. */
export const findShutdownRefusal = ({isAcceptingRequests, abortAt}: ShutdownState, deadlineAt: number, isIdempotent: boolean): RequestError | undefined => {
	if (!isAcceptingRequests) {
		return new RequestError(ErrorKind.ShuttingDown, 'the instance is stopping and accepts no more requests', shutdownRetryAfterMs);
	}

	return deadlineAt > abortAt && !isIdempotent
		? new RequestError(ErrorKind.ShuttingDown, 'the instance is stopping and could end before the request', shutdownRetryAfterMs)
		: undefined;
};
