import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Logger} from '../common/logger.js';
import type {RequestError} from '../common/request-error.js';
import {writeProblem} from '../io/write-problem.js';

type OpenExchange = {readonly request: IncomingMessage; readonly response: ServerResponse};

/** Creates a handler for exceptions that have passed all filters: it logs the exception and responds with the internal error, or closes the connection when a response has begun. */
export const createExceptionHandler = (logger: Logger) => ({request, response}: OpenExchange, error: RequestError): void => {
	logger.logError('filter-failed', {error: error.kind, detail: error.detail});
	writeProblem({request, response}, error);
};
