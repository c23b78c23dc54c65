import {Buffer} from 'node:buffer';
import {STATUS_CODES, type OutgoingHttpHeaders, type ServerResponse} from 'node:http';
import {errorAnswers} from '../common/error-answers.js';
import type {RequestError} from '../common/request-error.js';
import {HeaderName} from '../common/header-names.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';
import {stripHopHeaders} from './strip-hop-headers.js';

const writeError = (response: ServerResponse, error: RequestError): void => {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const answer = errorAnswers[error.kind];
	const retryAfterSeconds = error.retryAfterMs === undefined ? answer.retryAfterSeconds : Math.ceil(error.retryAfterMs / 1000);
	const body = JSON.stringify({
		type: `urn:rattansill:error:${error.kind}`, title: answer.title, status: answer.status, detail: error.detail, outcome: answer.outcome,
	});
	const headers: OutgoingHttpHeaders = {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		[HeaderName.Outcome]: answer.outcome,
	};
	if (retryAfterSeconds !== undefined) {
		headers['retry-after'] = String(retryAfterSeconds);
	}

	response.writeHead(answer.status, STATUS_CODES[answer.status] ?? answer.title, headers);
	response.end(body);
};

/** Writes the answer, or the problem document of an error, to the caller. */
export class AnswerFilter implements Filter {
	get name(): string {
		return 'answer';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const result = await next(context);
		const {response} = context;
		if (result.isErr()) {
			writeError(response, result.error);
			return result;
		}

		response.writeHead(result.value.status, stripHopHeaders(result.value.rawHeaders));
		await result.value.body.pipeTo(response);
		return result;
	}
}
