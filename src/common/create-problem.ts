import {errorResponses} from './error-responses.js';
import {HeaderName} from './header-names.js';
import type {RequestError} from './request-error.js';

type Problem = {
	readonly status: number;
	readonly headers: Record<string, string>;
	/** Problem document (RFC 9457) as JSON. */
	readonly body: string;
};

/** Creates the HTTP response for a request error: status, headers and a problem document (RFC 9457). */
export const createProblem = (error: RequestError): Problem => {
	const response = errorResponses[error.kind];
	const retryAfterSeconds = error.retryAfterMs === undefined ? response.retryAfterSeconds : Math.ceil(error.retryAfterMs / 1000);
	const headers: Record<string, string> = {
		'content-type': 'application/problem+json',
		[HeaderName.Outcome]: response.outcome,
	};
	if (retryAfterSeconds !== undefined) {
		headers['retry-after'] = String(retryAfterSeconds);
	}

	const body = JSON.stringify({
		type: `urn:rattansill:error:${error.kind}`, title: response.title, status: response.status, detail: error.detail, outcome: response.outcome,
	});
	return {status: response.status, headers, body};
};
