import type {Outcome} from './outcome.js';

/** HTTP response to a request that failed with one error kind. */
export type ErrorResponse = {
	/** HTTP status. */
	readonly status: number;
	/** Short, human-readable summary of the error kind (RFC 9457 `title`). */
	readonly title: string;
	/** Whether the request ran at a target, as far as known. */
	readonly outcome: Outcome;
	/** Default value of Retry-After, in seconds; undefined when a retry would not help. */
	readonly retryAfterSeconds: number | undefined;
};
