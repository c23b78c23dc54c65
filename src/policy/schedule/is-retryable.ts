import {ErrorKind} from '../../common/error-kind.js';

/** Whether another target may do better after a failure; the ledger of the request decides whether a further try is safe. */
export const isRetryable = (kind: ErrorKind): boolean => kind === ErrorKind.ConnectFailed || kind === ErrorKind.ConnectionsExhausted
	|| kind === ErrorKind.TargetRefused || kind === ErrorKind.ConnectionLost || kind === ErrorKind.AnswerCut;
