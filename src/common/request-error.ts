import {errorResponses} from './error-responses.js';
import type {ErrorKind} from './error-kind.js';
import type {Outcome} from './outcome.js';

/** A request to which the load balancer itself responds, with the reason and the details that an operator needs to trace it. */
export class RequestError extends Error {
	/**
	@param kind - Reason of the error.
	@param detail - Description of what happened, with the names and values concerned.
	@param retryAfterMs - Predicted time after which a retry is useful, in ms; the default of the error kind when undefined.
	*/
	constructor(readonly kind: ErrorKind, readonly detail: string, readonly retryAfterMs?: number) {
		super(`${kind}: ${detail}`);
		this.name = 'RequestError';
	}

	/** Whether the request ran at a target, as far as known. */
	get outcome(): Outcome {
		return errorResponses[this.kind].outcome;
	}
}
