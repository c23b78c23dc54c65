import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {ErrorKind} from '../common/error-kind.js';
import type {Logger} from '../common/logger.js';
import {RequestError} from '../common/request-error.js';
import {discardInput} from '../io/discard-input.js';
import {writeSocketProblem} from '../io/write-socket-problem.js';

type OpenContext = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly isDispatched: boolean;
	abort(reason: RequestError): void;
};

type OpenRequest = {readonly context: OpenContext; readonly endListeners: Array<() => void>};

/**
Tracks the requests in progress on each connection of a caller. Responses to pipelined requests are sent in order, so a connection may only
close after the last of them (RFC 9112, section 9.3.2).
*/
export class CallerConnections {
	private readonly _openRequests = new Map<Duplex, Map<ServerResponse, OpenRequest>>();

	/** @param _headerBytes - Maximum size of the headers of a request, which the listener enforces. */
	constructor(private _headerBytes: number, private readonly _logger: Pick<Logger, 'logError'>) {}

	/**
	Adds a request. Returns false when an earlier response on the connection closes it: the request will get no response, which tells the
	caller that it was not read, so it must not be dispatched.
	*/
	add(context: OpenContext): boolean {
		const {request: {socket}, response} = context;
		const openRequests = this._getOpenRequests(socket);
		const last = [...openRequests.keys()].at(-1);
		if (last?.shouldKeepAlive === false) {
			if (last.headersSent) {
				return false;
			}

			last.shouldKeepAlive = true;
			response.shouldKeepAlive = false;
		}

		openRequests.set(response, {context, endListeners: []});
		response.once('close', () => {
			this._end(socket, response);
		});
		return true;
	}

	/** Counts the requests in progress on a connection. */
	countOpen(socket: Duplex): number {
		return this._openRequests.get(socket)?.size ?? 0;
	}

	/** Makes the connection of a request close after the response to the last request on it. */
	closeAfterLast({request: {socket}}: Pick<OpenContext, 'request'>): void {
		this._closeAfterLast(this._openRequests.get(socket));
	}

	/** Changes the maximum size of headers. Node.js applies it to new connections only, so those with requests in progress close after the last of them. */
	setHeaderLimit(headerBytes: number): void {
		this._headerBytes = headerBytes;
		for (const openRequests of this._openRequests.values()) {
			this._closeAfterLast(openRequests);
		}
	}

	/** Calls a listener when the response to a request was sent or its connection has closed. A response that waits for its turn emits no `close` of its own. */
	onceEnded({request: {socket}, response}: Pick<OpenContext, 'request' | 'response'>, listener: () => void): void {
		const openRequest = this._openRequests.get(socket)?.get(response);
		if (openRequest === undefined) {
			response.once('close', listener);
		} else {
			openRequest.endListeners.push(listener);
		}
	}

	/** Handles an error of the HTTP parser: ends the requests that are incomplete, and closes the connection after the responses to the others. No further request is read from it. */
	handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
		const contexts = [...this._openRequests.get(socket)?.values() ?? []].map(({context}) => context);
		if (socket.writable) {
			this._logClientError(error, socket, contexts);
		}

		if (contexts.length === 0) {
			writeSocketProblem(socket, this._convertClientError(error, false));
			return;
		}

		for (const context of contexts.filter(({request}) => !request.complete)) {
			context.abort(this._convertClientError(error, context.isDispatched));
		}

		// Pending responses are sent before the connection closes.
		discardInput(socket);
		const last = contexts.at(-1)!;
		last.response.shouldKeepAlive = false;
		last.response.once('close', () => {
			socket.destroy();
		});
	}

	private _logClientError({code}: NodeJS.ErrnoException, socket: Duplex, contexts: readonly OpenContext[]): void {
		this._logger.logError('client-error', {
			code,
			remotePort: (socket as Socket).remotePort,
			bytesRead: (socket as Socket).bytesRead,
			requests: contexts.length,
			incomplete: contexts.filter(({request}) => !request.complete).length,
		});
	}

	private _closeAfterLast(openRequests: Map<ServerResponse, OpenRequest> | undefined): void {
		const last = [...openRequests?.keys() ?? []].at(-1);
		if (last !== undefined) {
			last.shouldKeepAlive = false;
		}
	}

	private _convertClientError(error: NodeJS.ErrnoException, isDispatched: boolean): RequestError {
		if (error.code === 'HPE_HEADER_OVERFLOW') {
			return new RequestError(ErrorKind.HeadersTooLarge, `the headers have more than ${this._headerBytes} bytes`);
		}

		if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
			const kind = isDispatched ? ErrorKind.RequestTooSlowDispatched : ErrorKind.RequestTooSlow;
			return new RequestError(kind, 'the request did not arrive in time');
		}

		return new RequestError(isDispatched ? ErrorKind.BodyInterrupted : ErrorKind.MalformedRequest, error.message);
	}

	private _getOpenRequests(socket: Duplex): Map<ServerResponse, OpenRequest> {
		let openRequests = this._openRequests.get(socket);
		if (openRequests === undefined) {
			openRequests = new Map();
			this._openRequests.set(socket, openRequests);
			socket.once('close', () => {
				for (const response of this._openRequests.get(socket)?.keys() ?? []) {
					this._end(socket, response);
				}

				this._openRequests.delete(socket);
			});
		}

		return openRequests;
	}

	private _end(socket: Duplex, response: ServerResponse): void {
		const openRequests = this._openRequests.get(socket);
		const openRequest = openRequests?.get(response);
		openRequests?.delete(response);
		for (const listener of openRequest?.endListeners ?? []) {
			listener();
		}
	}
}
