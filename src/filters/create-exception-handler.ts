import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Logger} from '../common/logger.js';
import type {RequestError} from '../common/request-error.js';
import {writeProblem} from '../io/write-problem.js';

type OpenContext = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	abort(reason: RequestError): void;
};

/** Creates a handler for exceptions that have passed all filters: it logs the exception, responds with the internal error, or closes the connection when a response has begun, and ends all work. */
export const createExceptionHandler = (logger: Logger) => (context: OpenContext, error: RequestError): void => {
	logger.logError('filter-failed', {error: error.kind, detail: error.detail});
	writeProblem(context, error);
	context.abort(error);
};
