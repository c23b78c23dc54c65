import type {Outcome} from './outcome.js';

/** What a caller is told for one error kind. */
export type ErrorAnswer = {
	/** HTTP status. */
	readonly status: number;
	/** Short, human-readable summary of the kind (RFC 9457 `title`). */
	readonly title: string;
	/** What is known about the request's execution. */
	readonly outcome: Outcome;
	/** Default Retry-After, in seconds; undefined when a retry would not help. */
	readonly retryAfterSeconds: number | undefined;
};
