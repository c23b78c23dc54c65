import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createProblem} from '../common/create-problem.js';
import type {RequestError} from '../common/request-error.js';

type OpenExchange = {readonly request: IncomingMessage; readonly response: ServerResponse};

/** Responds to a request with the problem document of an error; a response that has already started is aborted instead. */
export const writeProblem = ({request, response}: OpenExchange, error: RequestError): void => {
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
		// A persistent connection would require reading the rest of the body before the next request.
		response.shouldKeepAlive = false;
	}

	response.writeHead(status);
	response.end(body);
};
