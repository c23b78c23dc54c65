import {ErrorKind} from '../common/error-kind.js';
import {Outcome} from '../common/outcome.js';
import {RequestError} from '../common/request-error.js';

/** Kinds that differ only in whether a byte may have reached a target. */
const dispatchedKinds = new Map([
	[ErrorKind.DeadlineExpiredQueued, ErrorKind.DeadlineExpiredDispatched],
	[ErrorKind.InternalQueued, ErrorKind.InternalDispatched],
	[ErrorKind.ConnectFailed, ErrorKind.ConnectionLost],
	[ErrorKind.BodyTooLarge, ErrorKind.BodyTooLargeDispatched],
	[ErrorKind.RequestTooSlow, ErrorKind.RequestTooSlowDispatched],
	[ErrorKind.MalformedRequest, ErrorKind.BodyInterrupted],
	[ErrorKind.BodyTooLarge, ErrorKind.BodyTooLargeDispatched],
	[ErrorKind.RequestTooSlow, ErrorKind.RequestTooSlowDispatched],
	[ErrorKind.MalformedRequest, ErrorKind.BodyInterrupted],
]);
const queuedKinds = new Map([...dispatchedKinds].map(([queued, dispatched]) => [dispatched, queued]));

/**
Makes an error state what the ledger knows, whatever the place that raised it believed.
@param error - The error as raised.
@param outcome - The outcome that the ledger states.
*/
export const convertError = (error: RequestError, outcome: Outcome): RequestError => {
	const isProvenNotRun = outcome === Outcome.NotRun;
	if (isProvenNotRun === (error.outcome === Outcome.NotRun)) {
		return error;
	}

	const kind = isProvenNotRun ? queuedKinds.get(error.kind) : dispatchedKinds.get(error.kind) ?? ErrorKind.ConnectionLost;
	return kind === undefined ? error : new RequestError(kind, error.detail, error.retryAfterMs);
};
