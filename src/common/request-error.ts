import {errorAnswers} from './error-answers.js';
import type {ErrorKind} from './error-kind.js';
import type {Outcome} from './outcome.js';

/** A request that the system itself answers, with the reason and what an operator needs to trace it. */
export class RequestError extends Error {
	/**
	@param kind - The entry of the closed list that applies.
	@param detail - What happened, with the names and values concerned.
	@param retryAfterMs - Predicted time after which a retry is useful, in ms; the table's value when undefined.
	*/
	constructor(readonly kind: ErrorKind, readonly detail: string, readonly retryAfterMs?: number) {
		super(`${kind}: ${detail}`);
		this.name = 'RequestError';
	}

	/** What is known about the request's execution. */
	get outcome(): Outcome {
		return errorAnswers[this.kind].outcome;
	}
}
