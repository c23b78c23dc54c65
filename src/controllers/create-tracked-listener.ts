import {
	maxHeaderSize, type IncomingMessage, type ServerOptions, type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Logger} from '../common/logger.js';
import {HttpListener} from '../io/http-listener.js';
import {CallerConnections} from './caller-connections.js';

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/**
Creates a listener for requests that the instance answers itself. Errors of its connections are handled as those of callers' connections are;
Node.js would answer them in place of a request in progress, and refuse what waits in the sockets after a pause of the process.
*/
export const createTrackedListener = (options: ServerOptions, handle: RequestHandler, logger: Pick<Logger, 'logError'>): HttpListener => {
	const connections = new CallerConnections(options.maxHeaderSize ?? maxHeaderSize, logger);
	const listener = new HttpListener(options, async (request, response) => {
		const isAdded = connections.add({
			request,
			response,
			isDispatched: false,
			abort() {
				// The handler may have begun, so nothing is said of the outcome.
				request.destroy();
			},
		});
		if (isAdded) {
			await handle(request, response);
		}
	}, logger);
	listener.server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
		void connections.handleClientError(error, socket);
	});
	return listener;
};
