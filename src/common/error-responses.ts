import type {ErrorResponse} from './error-response.js';
import {ErrorKind} from './error-kind.js';
import {Outcome} from './outcome.js';

/** Maps each error kind to its HTTP response. */
export const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
	[ErrorKind.MalformedRequest]: {
		status: 400, title: 'The request is malformed', outcome: Outcome.NotRun, retryAfterSeconds: undefined,
	},
	[ErrorKind.HeadersTooLarge]: {
		status: 431, title: 'The request headers are too large', outcome: Outcome.NotRun, retryAfterSeconds: undefined,
	},
	[ErrorKind.BodyTooLarge]: {
		status: 413, title: 'The request body is too large', outcome: Outcome.NotRun, retryAfterSeconds: undefined,
	},
	[ErrorKind.BodyTooLargeDispatched]: {
		status: 413, title: 'The request body grew too large after dispatch', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
	[ErrorKind.RequestTooSlow]: {
		status: 408, title: 'The request took too long to arrive', outcome: Outcome.NotRun, retryAfterSeconds: undefined,
	},
	[ErrorKind.RequestTooSlowDispatched]: {
		status: 408, title: 'The request body took too long to arrive after dispatch', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
	[ErrorKind.UnknownService]: {
		status: 404, title: 'No such service', outcome: Outcome.NotRun, retryAfterSeconds: undefined,
	},
	[ErrorKind.NotConfigured]: {
		status: 503, title: 'No configuration has been read yet', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.MethodNotAllowed]: {
		status: 405, title: 'The method is not supported', outcome: Outcome.NotRun, retryAfterSeconds: undefined,
	},
	[ErrorKind.DeadlineUnreachable]: {
		status: 503, title: 'The deadline cannot be met', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.DeadlineExpiredQueued]: {
		status: 503, title: 'The deadline expired before dispatch', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.DeadlineExpiredDispatched]: {
		status: 504, title: 'The deadline expired after dispatch', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
	[ErrorKind.QueueFull]: {
		status: 503, title: 'The queue is full', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.Overloaded]: {
		status: 503, title: 'The instance is overloaded', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.NoTarget]: {
		status: 503, title: 'No target is available', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.ConnectFailed]: {
		status: 503, title: 'No connection to a target could be opened', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.ConnectionsExhausted]: {
		status: 503, title: 'All connections to the targets are in use', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.TargetRefused]: {
		status: 503, title: 'The target refused the request', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.TargetRefusedUnproven]: {
		status: 502, title: 'The target refused the request without proof that it did not run', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
	[ErrorKind.ConnectionLost]: {
		status: 502, title: 'The connection to the target was lost after dispatch', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
	[ErrorKind.AnswerCut]: {
		status: 502, title: 'The answer of the target was cut', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
	[ErrorKind.BodyInterrupted]: {
		status: 400, title: 'The request body was interrupted after dispatch', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
	[ErrorKind.KeyConflict]: {
		status: 422, title: 'The idempotency key was used for another request', outcome: Outcome.NotRun, retryAfterSeconds: undefined,
	},
	[ErrorKind.KeyUnvouched]: {
		status: 409, title: 'The outcome of the first request with this idempotency key is not known', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
	[ErrorKind.KeyAnswered]: {
		status: 409, title: 'The first request with this idempotency key ran; its answer is no longer held', outcome: Outcome.Ran, retryAfterSeconds: undefined,
	},
	[ErrorKind.KeyOwnersUnreachable]: {
		status: 503, title: 'No instance that remembers this idempotency key can be reached', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.CallerGone]: {
		status: 499, title: 'The caller closed the connection', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
	[ErrorKind.ShuttingDown]: {
		status: 503, title: 'The instance is shutting down', outcome: Outcome.NotRun, retryAfterSeconds: 1,
	},
	[ErrorKind.InternalQueued]: {
		status: 500, title: 'Internal error before dispatch', outcome: Outcome.NotRun, retryAfterSeconds: undefined,
	},
	[ErrorKind.InternalDispatched]: {
		status: 500, title: 'Internal error after dispatch', outcome: Outcome.Unknown, retryAfterSeconds: undefined,
	},
};
