import type {ErrorKind} from '../error-kind.js';

/** The error response that a request would get. */
export type ExplainedRefusal = {
	readonly kind: ErrorKind;
	readonly status: number;
	readonly detail: string;
	/** Time after which the caller would be told to retry, in ms, without the random addition; undefined when the default of the kind applies. */
	readonly retryAfterMs?: number | undefined;
};
