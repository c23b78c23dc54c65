import {Buffer} from 'node:buffer';
import {createProblem} from '../common/create-problem.js';
import type {RequestError} from '../common/request-error.js';
import type {RequestContext} from './request-context.js';

/** Answers a request by the problem document of an error; an answer already begun is cut instead. */
export const writeProblem = (context: RequestContext, error: RequestError): void => {
	const {request, response} = context;
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const {status, headers, body} = createProblem(error);
	for (const [name, value] of Object.entries(headers)) {
		response.setHeader(name, value);
	}

	response.setHeader('content-length', Buffer.byteLength(body));
	if (!request.complete) {
		// What is left of the body would have to be read before the next request.
		response.setHeader('connection', 'close');
	}

	response.writeHead(status);
	response.end(body);
};
