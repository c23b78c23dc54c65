import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import {getHeapStatistics} from 'node:v8';
import type {DisposableLike} from '../../common/disposable-like.js';
import {ErrorKind} from '../../common/error-kind.js';
import type {ClientLimits} from '../../common/gateway/client-limits.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import {RequestError} from '../../common/request-error.js';
import {writeProblem} from '../../io/write-problem.js';
import {computeFreeBytes} from '../../policy/gateway/compute-free-bytes.js';
import {estimateHeadBytes} from '../../policy/gateway/estimate-head-bytes.js';
import {minRetryAfterMs} from '../../policy/gateway/min-retry-after-ms.js';
import {orderStalledClients} from '../../policy/gateway/order-stalled-clients.js';
import {ClientConnection} from './client-connection.js';

type ClientConnectionsOptions = {
	readonly limits: ClientLimits;
	/** Memory that the process may use, in bytes. */
	readonly processLimitBytes: number;
	readonly residentMemory: {readonly bytes: number};
	/** Memory that is held for clients without a connection of their own in the account: responses of targets, calls of peers and unfinished heads, in bytes. */
	readonly countOtherBytes: () => number;
	readonly metrics: Metrics;
	readonly logger: Pick<Logger, 'logError'>;
};

/** Interval at which the progress of connections is checked, in ms. */
const checkIntervalMs = 250;
/** Share of a budget from which on progress is checked; below it nothing is closed, so the check would cost processor time for nothing. */
const checkedShare = 0.5;
/** Share of the heap that the heads of all requests may take. With a quarter, the heap ended: heads that are refused or closed in one turn of the event loop are freed after it. */
const headHeapShare = 0.125;
/** Share of the memory of the process from which on the budget shrinks; the system's allocator may return buffers late, and what it keeps is counted nowhere else. */
const highResidentShare = 0.6;
/** Heap that a refused request takes until its response is sent, in bytes; its fields are dropped at once. */
const refusedRequestBytes = 3000;
/** Header fields from which on a connection closes after the response. Such a request takes over a millisecond to read, so a connection that sends one after the other would hold up all others. */
const manyFields = 500;

/** The connections of clients of all listeners, and what they make the instance hold: one budget of memory and one of connections. */
export class ClientConnections implements DisposableLike {
	private readonly _clients = new Map<Duplex, ClientConnection>();
	private readonly _dropping = new Set<ClientConnection>();
	/** Connections that stalled by the last check, the one to be closed first at the end. */
	private _stalled: ClientConnection[] = [];
	private _heldBytes = 0;
	/** Part of the held memory whose connections are closing. */
	private _closingBytes = 0;
	/** What a head takes counts in proportion to the heap, since the heap ends before the memory does. */
	private readonly _headWeight: number;
	private readonly _timer = setInterval(() => {
		this._checkConnections();
	}, checkIntervalMs);

	constructor(private readonly _options: ClientConnectionsOptions) {
		this._headWeight = Math.max(1, _options.limits.memoryBytes / (getHeapStatistics().heap_size_limit * headHeapShare));
	}

	/** Memory that large bodies and responses may still take, in bytes. */
	get freeBytes(): number {
		return this._countFreeBytes(0, this._options.limits.memoryBytes);
	}

	/** Memory that small requests may still take, in bytes. It doesn't shrink, so that the requests of peers and ordinary callers are read in any case. */
	get totalFreeBytes(): number {
		return this._options.limits.memoryBytes - this._heldBytes - this._options.countOtherBytes();
	}

	/**
	Includes the connections that a server accepts from now on.
	@param getDroppedBytes - Returns how many bytes of a body are read and dropped after the response to its request.
	*/
	watch(server: Server, getDroppedBytes: () => number): void {
		server.on('connection', (socket: Socket) => {
			this._addConnection(socket);
		});
		server.on('request', (request: IncomingMessage, response: ServerResponse) => {
			response.once('finish', () => {
				this._limitDroppedBytes(request, getDroppedBytes());
			});
		});
	}

	/** Takes the memory of a request's head. Returns false when the request must not be handled: it has been refused, or its connection closed. */
	admit(request: IncomingMessage, response: ServerResponse, maxRequestCount = this._options.limits.requestsPerConnection): boolean {
		const client = this._clients.get(request.socket);
		if (client === undefined) {
			// Node.js passes on the requests that it read together with the one for which the connection was closed.
			return false;
		}

		client.addRequest(request, response);
		if (client.requestCount > maxRequestCount) {
			this._close(client, 'pipelined');
			return false;
		}

		if (request.rawHeaders.length / 2 >= manyFields) {
			response.shouldKeepAlive = false;
		}

		let bytes = estimateHeadBytes(request.rawHeaders) * this._headWeight;
		let isAdmitted = true;
		if (!this._tryTake(client, bytes)) {
			isAdmitted = false;
			bytes = refusedRequestBytes * this._headWeight;
			if (!this._tryTake(client, bytes)) {
				this._close(client, 'memory');
				return false;
			}
		}

		const release = () => {
			this.release(request.socket, bytes);
		};

		response.once('close', () => {
			client.removeRequest(response);
			if (request.complete) {
				release();
			} else {
				// Node.js holds the request until its body has arrived.
				request.once('end', release);
			}
		});
		if (!isAdmitted) {
			this._countRefusal('memory');
			request.rawHeaders.length = 0;
			request.headers = {};
			writeProblem({request, response}, new RequestError(ErrorKind.Overloaded, 'the requests in progress take all the memory that they may', minRetryAfterMs));
		}

		return isAdmitted;
	}

	/** Takes memory for a connection; false when there is none, even after stalled connections were closed. */
	take(socket: Duplex, bytes: number): boolean {
		const client = this._clients.get(socket);
		if (client === undefined) {
			return false;
		}

		if (this._tryTake(client, bytes)) {
			return true;
		}

		this._countRefusal('memory');
		return false;
	}

	/** Returns memory of a connection; all that it holds is returned when it closes. */
	release(socket: Duplex, bytes: number): void {
		const client = this._clients.get(socket);
		if (client !== undefined) {
			client.heldBytes -= bytes;
			this._heldBytes -= bytes;
		}
	}

	recordGauges(): void {
		const {metrics, limits} = this._options;
		metrics.recordGauge('client.held_bytes', this._heldBytes + this._options.countOtherBytes());
		metrics.recordGauge('client.memory_limit', limits.memoryBytes);
		metrics.recordGauge('client.connections', this._clients.size);
		metrics.recordGauge('client.connection_limit', limits.connections);
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	private _addConnection(socket: Socket): void {
		if (this._clients.size >= this._options.limits.connections && !this._closeStalled('connections', () => true)) {
			this._countRefusal('connections');
			socket.destroy();
			return;
		}

		const client = new ClientConnection(socket);
		this._clients.set(socket, client);
		socket.once('close', () => {
			this._remove(client);
			this._heldBytes -= client.heldBytes;
			if (client.isClosing) {
				this._closingBytes -= client.heldBytes;
			}
		});
	}

	private _tryTake(client: ClientConnection, bytes: number): boolean {
		const countFreeBytes = () => this._countFreeBytes(client.heldBytes, bytes);
		while (bytes > countFreeBytes() + this._closingBytes) {
			if (!this._closeStalled('memory', ({heldBytes, socket}) => heldBytes > 0 && socket !== client.socket)) {
				return false;
			}
		}

		// What a closed connection held is free only after the turn of the event loop in which it was closed.
		if (bytes > countFreeBytes()) {
			return false;
		}

		client.heldBytes += bytes;
		this._heldBytes += bytes;
		return true;
	}

	/** Counts the memory that a connection may still take. */
	private _countFreeBytes(heldBytes: number, askedBytes: number): number {
		const {limits, processLimitBytes, residentMemory} = this._options;
		const isResidentHigh = residentMemory.bytes > processLimitBytes * highResidentShare;
		return computeFreeBytes({
			budgetBytes: limits.memoryBytes, unusedBytes: this.totalFreeBytes, isResidentHigh, heldBytes, askedBytes,
		});
	}

	/** Closes the next stalled connection that meets a condition; false when there is none. */
	private _closeStalled(cause: string, matches: (client: ClientConnection) => boolean): boolean {
		for (let index = this._stalled.length - 1; index >= 0; index--) {
			const client = this._stalled[index]!;
			if (!this._clients.has(client.socket) || client.stalledChecks === 0 || client.isProgressing) {
				this._stalled.splice(index, 1);
			} else if (matches(client)) {
				this._stalled.splice(index, 1);
				this._close(client, cause);
				return true;
			}
		}

		return false;
	}

	private _close(client: ClientConnection, cause: string): void {
		const {heldBytes, requestCount, socket} = client;
		this._remove(client);
		client.isClosing = true;
		this._closingBytes += heldBytes;
		socket.destroy();
		this._options.metrics.countEvent('client.closed', {cause});
		this._options.logger.logError('client-closed', {
			cause, heldBytes: Math.round(heldBytes), requests: requestCount, connections: this._clients.size,
		});
	}

	private _remove(client: ClientConnection): void {
		this._clients.delete(client.socket);
		this._dropping.delete(client);
	}

	private _countRefusal(cause: string): void {
		this._options.metrics.countEvent('client.refused', {cause});
		this._options.logger.logError('client-refused', {cause, heldBytes: Math.round(this._heldBytes), connections: this._clients.size});
	}

	/** Closes the connection when more of a body follows than is dropped, once its request was answered. */
	private _limitDroppedBytes(request: IncomingMessage, droppedBytes: number): void {
		const client = this._clients.get(request.socket);
		if (client !== undefined && !request.complete) {
			client.maxBytesRead = client.socket.bytesRead + droppedBytes;
			this._dropping.add(client);
			request.once('end', () => {
				this._dropping.delete(client);
			});
		}
	}

	private _checkConnections(): void {
		for (const client of this._dropping) {
			if (client.socket.bytesRead > client.maxBytesRead) {
				this._close(client, 'dropped-body');
			}
		}

		const {limits} = this._options;
		if (this._clients.size < limits.connections * checkedShare && this.freeBytes > limits.memoryBytes * (1 - checkedShare)) {
			this._stalled = [];
			return;
		}

		for (const client of this._clients.values()) {
			client.checkProgress();
		}

		this._stalled = orderStalledClients(this._clients.values()).reverse();
		// Responses of targets take their memory even when there is none left.
		while (this.totalFreeBytes + this._closingBytes < 0 && this._closeStalled('memory', ({heldBytes}) => heldBytes > 0)) {
			// Goes on with the next one.
		}
	}
}
