import {errorAnswers} from './error-answers.js';
import {HeaderName} from './header-names.js';
import type {RequestError} from './request-error.js';

type Problem = {
	readonly status: number;
	readonly headers: Record<string, string>;
	/** Problem document (RFC 9457) as JSON. */
	readonly body: string;
};

/** Builds the answer to a request error from the table of answers. */
export const createProblem = (error: RequestError): Problem => {
	const answer = errorAnswers[error.kind];
	const retryAfterSeconds = error.retryAfterMs === undefined ? answer.retryAfterSeconds : Math.ceil(error.retryAfterMs / 1000);
	const headers: Record<string, string> = {
		'content-type': 'application/problem+json',
		[HeaderName.Outcome]: answer.outcome,
	};
	if (retryAfterSeconds !== undefined) {
		headers['retry-after'] = String(retryAfterSeconds);
	}

	const body = JSON.stringify({
		type: `urn:rattansill:error:${error.kind}`, title: answer.title, status: answer.status, detail: error.detail, outcome: answer.outcome,
	});
	return {status: answer.status, headers, body};
};
