import {ErrorKind} from '../common/error-kind.js';
import {Outcome} from '../common/outcome.js';
import {RequestError} from '../common/request-error.js';

/** Maps error kinds of requests that were not dispatched to those of requests of which bytes may have reached a target. */
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
Changes the kind of an error if it contradicts the outcome of the ledger, which is authoritative.
@param error - The error as raised.
@param outcome - Outcome of the request according to the ledger.
*/
export const alignErrorWithOutcome = (error: RequestError, outcome: Outcome): RequestError => {
	const isProvenNotRun = outcome === Outcome.NotRun;
	if (isProvenNotRun === (error.outcome === Outcome.NotRun)) {
		return error;
	}

	const kind = isProvenNotRun ? queuedKinds.get(error.kind) : dispatchedKinds.get(error.kind) ?? ErrorKind.ConnectionLost;
	return kind === undefined ? error : new RequestError(kind, error.detail, error.retryAfterMs);
};
