import {ErrorKind} from '../../common/error-kind.js';

/** Whether an attempt at another target may succeed after a failure; whether it is safe depends on the outcome of the earlier attempts. */
export const isRetryable = (kind: ErrorKind): boolean => kind === ErrorKind.ConnectFailed || kind === ErrorKind.ConnectionsExhausted
	|| kind === ErrorKind.TargetRefused || kind === ErrorKind.ConnectionLost || kind === ErrorKind.AnswerCut;
