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

type Connection = {
	readonly openRequests: Map<ServerResponse, OpenRequest>;
	/** Number of requests that have been added, ended ones included. */
	requestCount: number;
};

/** Code of the error with which Node.js reports a request that did not arrive in time. */
const overdueCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
Tracks the requests in progress on each connection of a caller. Responses to pipelined requests are sent in order, so a connection may only
close after the last of them (RFC 9112, section 9.3.2).
*/
export class CallerConnections {
	private readonly _connections = new Map<Duplex, Connection>();

	/** @param _headerBytes - Maximum size of the headers of a request, which the listener enforces. */
	constructor(private _headerBytes: number, private readonly _logger: Pick<Logger, 'logError'>) {}

	/**
	Adds a request. Returns false when an earlier response on the connection closes it: the request will get no response, which tells the
	caller that it was not read, so it must not be dispatched.
	*/
	add(context: OpenContext): boolean {
		const {request: {socket}, response} = context;
		const connection = this._getConnection(socket);
		const {openRequests} = connection;
		const last = [...openRequests.keys()].at(-1);
		if (last?.shouldKeepAlive === false) {
			if (last.headersSent || response.headersSent) {
				return false;
			}

			last.shouldKeepAlive = true;
			response.shouldKeepAlive = false;
		}

		connection.requestCount++;
		openRequests.set(response, {context, endListeners: []});
		response.once('close', () => {
			this._end(socket, response);
		});
		return true;
	}

	/** Counts the requests in progress on a connection. */
	countOpen(socket: Duplex): number {
		return this._connections.get(socket)?.openRequests.size ?? 0;
	}

	/** Makes the connection of a request close after the response to the last request on it. */
	closeAfterLast({request: {socket}}: Pick<OpenContext, 'request'>): void {
		this._closeAfterLast(this._connections.get(socket)?.openRequests);
	}

	/** Changes the maximum size of headers. Node.js applies it to new connections only, so those with requests in progress close after the last of them. */
	setHeaderLimit(headerBytes: number): void {
		this._headerBytes = headerBytes;
		for (const {openRequests} of this._connections.values()) {
			this._closeAfterLast(openRequests);
		}
	}

	/** Calls a listener when the response to a request was sent or its connection has closed. A response that waits for its turn emits no `close` of its own. */
	onceEnded({request: {socket}, response}: Pick<OpenContext, 'request' | 'response'>, listener: () => void): void {
		const openRequest = this._connections.get(socket)?.openRequests.get(response);
		if (openRequest === undefined) {
			response.once('close', listener);
		} else {
			openRequest.endListeners.push(listener);
		}
	}

	/**
	Handles an error of the HTTP parser: ends the requests that are incomplete, and refuses what follows on the connection. A request that is overdue
	has the time until the sockets have been read, since it may wait there.
	*/
	async handleClientError(error: NodeJS.ErrnoException, socket: Duplex): Promise<void> {
		if (error.code === overdueCode && await this._confirmArrival(socket)) {
			return;
		}

		const contexts = this._listContexts(socket);
		if (socket.writable) {
			this._logClientError(error, socket, contexts);
		}

		this.refuseRest(socket, this._convertClientError(error, false));
		for (const context of contexts.filter(({request}) => !request.complete)) {
			context.abort(this._convertClientError(error, context.isDispatched));
		}
	}

	/** Reads nothing more from a connection and closes it: after the responses to the requests in progress or, when there are none, with an error as the response. */
	refuseRest(socket: Duplex, error: RequestError): void {
		const last = this._listContexts(socket).at(-1)?.response;
		if (last === undefined) {
			writeSocketProblem(socket, error);
			return;
		}

		discardInput(socket);
		last.shouldKeepAlive = false;
		last.once('close', () => {
			socket.destroy();
		});
	}

	/** Resolves, once the sockets have been read, with whether what is overdue has arrived: the bodies of the requests in progress or, when these are complete, a further head. */
	private async _confirmArrival(socket: Duplex): Promise<boolean> {
		const incomplete = this._listContexts(socket).filter(({request}) => !request.complete);
		const requestCount = this._connections.get(socket)?.requestCount ?? 0;
		// After a pause of the process, timers run before the sockets are read; immediates run after it.
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
		return incomplete.length > 0
			? incomplete.every(({request}) => request.complete)
			: (this._connections.get(socket)?.requestCount ?? 0) > requestCount;
	}

	private _listContexts(socket: Duplex): OpenContext[] {
		return [...this._connections.get(socket)?.openRequests.values() ?? []].map(({context}) => context);
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

		if (error.code === overdueCode) {
			const kind = isDispatched ? ErrorKind.RequestTooSlowDispatched : ErrorKind.RequestTooSlow;
			return new RequestError(kind, 'the request did not arrive in time');
		}

		return new RequestError(isDispatched ? ErrorKind.BodyInterrupted : ErrorKind.MalformedRequest, error.message);
	}

	private _getConnection(socket: Duplex): Connection {
		let connection = this._connections.get(socket);
		if (connection === undefined) {
			connection = {openRequests: new Map(), requestCount: 0};
			this._connections.set(socket, connection);
			socket.once('close', () => {
				for (const response of this._connections.get(socket)?.openRequests.keys() ?? []) {
					this._end(socket, response);
				}

				this._connections.delete(socket);
			});
		}

		return connection;
	}

	private _end(socket: Duplex, response: ServerResponse): void {
		const openRequests = this._connections.get(socket)?.openRequests;
		const openRequest = openRequests?.get(response);
		openRequests?.delete(response);
		for (const listener of openRequest?.endListeners ?? []) {
			listener();
		}
	}
}
