import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {Logger} from '../../common/logger.js';
import {chooseHeadsToDrop} from '../../policy/gateway/choose-heads-to-drop.js';

type HeadMemoryOptions = {
	/** Bytes that the unfinished heads of all connections may have together. */
	readonly limitBytes: number;
	readonly logger: Pick<Logger, 'logError'>;
};

type Connection = {
	readonly socket: Socket;
	/** Response to the last request on the connection; undefined once it has ended, or before the first request. */
	response: ServerResponse | undefined;
	/** Bytes that the socket had read when the last request on it was found ended. */
	countedBytes: number;
};

/** Interval at which unfinished heads are summed up while there are enough connections to exceed the limit, in ms. */
const checkIntervalMs = 100;
/** Number of connections that may be open without a check; few connections cannot hold much. */
const uncheckedCount = 100;

/** Limits the memory of request heads that arrive piece by piece. Node.js holds each on the heap, in several times its size, until it is complete or times out. */
export class HeadMemory implements DisposableLike {
	private readonly _connections = new Map<Socket, Connection>();
	private _unfinishedBytes = 0;
	private readonly _timer = setInterval(() => {
		this.dropLargest();
	}, checkIntervalMs);

	constructor(private readonly _options: HeadMemoryOptions) {}

	/** Bytes of unfinished heads by the last check. */
	get unfinishedBytes(): number {
		return this._unfinishedBytes;
	}

	/** Includes the connections that a server accepts from now on. */
	watch(server: Server): void {
		server.on('connection', (socket: Socket) => {
			this._connections.set(socket, {socket, response: undefined, countedBytes: 0});
			socket.once('close', () => {
				this._connections.delete(socket);
			});
		});
		server.on('request', ({socket}: IncomingMessage, response: ServerResponse) => {
			const connection = this._connections.get(socket);
			if (connection !== undefined) {
				connection.response = response;
			}
		});
	}

	/** Closes the connections with the largest unfinished heads when all together exceed the limit. Called by a timer. */
	dropLargest(): void {
		this._unfinishedBytes = 0;
		if (this._connections.size <= uncheckedCount) {
			return;
		}

		const heads = [...this._connections.values()].map(connection => ({connection, bytes: this._countUnfinishedBytes(connection)}));
		this._unfinishedBytes = heads.reduce((sum, {bytes}) => sum + bytes, 0);
		const dropped = chooseHeadsToDrop(heads, this._options.limitBytes);
		for (const {connection: {socket}, bytes} of dropped) {
			this._unfinishedBytes -= bytes;
			this._connections.delete(socket);
			// A response would keep the head in memory until the caller has read it.
			socket.destroy();
		}

		if (dropped.length > 0) {
			this._options.logger.logError('heads-dropped', {connections: dropped.length, bytes: dropped.reduce((sum, {bytes}) => sum + bytes, 0)});
		}
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	private _countUnfinishedBytes(connection: Connection): number {
		const {socket, response} = connection;
		if (response !== undefined) {
			// What arrives during a request is its body or a pipelined request, which have limits of their own.
			connection.countedBytes = socket.bytesRead;
			if (response.writableFinished || response.destroyed) {
				connection.response = undefined;
			}
		}

		return socket.bytesRead - connection.countedBytes;
	}
}
