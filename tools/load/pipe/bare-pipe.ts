import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {Pool} from 'undici';
import {HttpListener} from '../../../src/io/http-listener.js';
import type {DisposableLike} from '../../../src/common/disposable-like.js';

/** Minimal reverse proxy that serves as the lower bound of a hop's overhead: Node's HTTP server, and undici to the targets, round robin. */
export class BarePipe implements DisposableLike {
	readonly listener = new HttpListener({noDelay: true, keepAliveTimeout: 60_000}, (request, response) => {
		void this._forward(request, response);
	});

	private readonly _pools: readonly Pool[];
	private _nextIndex = 0;

	/** @param targets - Base URLs of the targets. */
	constructor(targets: readonly string[]) {
		this._pools = targets.map(url => new Pool(url, {pipelining: 1}));
	}

	dispose(): void {
		this.listener.dispose();
		for (const pool of this._pools) {
			void pool.destroy();
		}
	}

	private async _forward(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const pool = this._pools[this._nextIndex++ % this._pools.length]!;
		const hasBody = request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
		const {connection: _connection, 'keep-alive': _keepAlive, 'transfer-encoding': _transferEncoding, ...headers} = request.headers;
		try {
			const targetResponse = await pool.request({
				path: request.url ?? '/', method: request.method ?? 'GET', headers, body: hasBody ? request : undefined,
			});
			const {connection: _targetConnection, 'keep-alive': _targetKeepAlive, 'transfer-encoding': _targetTransferEncoding, ...targetHeaders} = targetResponse.headers;
			response.writeHead(targetResponse.statusCode, targetHeaders);
			await pipeline(targetResponse.body, response);
		} catch {
			response.destroy();
		}
	}
}
