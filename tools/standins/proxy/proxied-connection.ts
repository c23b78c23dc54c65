import {connect, type Socket} from 'node:net';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {Emitter} from '../../../src/common/emitter.js';

type ProxiedConnectionOptions = {
	/** Accepted connection. */
	readonly client: Socket;
	/** Upstream address. */
	readonly host: string;
	readonly port: number;
	/** Delay of each chunk in each direction, in ms. */
	readonly delayMs: number;
	/** Number of response bytes after which the connection is closed. */
	readonly truncateAfterBytes: number;
};

/** A client connection through the fault proxy and its upstream connection. */
export class ProxiedConnection implements DisposableLike {
	private readonly _upstream: Socket;
	private readonly _onClosed = new Emitter<void>();
	private _isBlackholed = false;
	private _responseBytes = 0;

	constructor(private readonly _options: ProxiedConnectionOptions) {
		const {client} = _options;
		this._upstream = connect({host: _options.host, port: _options.port, noDelay: true});
		client.setNoDelay(true);
		this._forward(client, this._upstream);
		this._forward(this._upstream, client);
		client.once('close', () => {
			this._onClosed.fire();
		});
	}

	/** Fires once the client's connection is closed. */
	get onClosed() {
		return this._onClosed.event;
	}

	/** Discards all further bytes in both directions; neither side sees a close of the other. */
	blackhole(): void {
		this._isBlackholed = true;
	}

	/** Resets both connections. */
	abort(): void {
		this._options.client.resetAndDestroy();
		this._upstream.resetAndDestroy();
	}

	dispose(): void {
		this._options.client.destroy();
		this._upstream.destroy();
	}

	private _forward(from: Socket, to: Socket): void {
		from.on('data', (chunk: Uint8Array) => {
			this._relay(() => {
				this._forwardChunk(from, to, chunk);
			});
		});
		from.once('end', () => {
			this._relay(() => {
				to.end();
			});
		});
		from.once('error', () => {
			this._relay(() => {
				to.destroy();
			});
		});
		from.once('close', () => {
			this._relay(() => {
				to.destroySoon();
			});
		});
	}

	private _forwardChunk(from: Socket, to: Socket, chunk: Uint8Array): void {
		if (to.destroyed) {
			return;
		}

		if (to !== this._options.client) {
			this._writeWithBackpressure(from, to, chunk);
			return;
		}

		const remainingBytes = this._options.truncateAfterBytes - this._responseBytes;
		this._responseBytes += chunk.length;
		if (chunk.length < remainingBytes) {
			this._writeWithBackpressure(from, to, chunk);
			return;
		}

		to.end(chunk.subarray(0, remainingBytes));
		this._upstream.destroy();
	}

	private _writeWithBackpressure(from: Socket, to: Socket, chunk: Uint8Array): void {
		if (!to.write(chunk)) {
			from.pause();
			to.once('drain', () => {
				from.resume();
			});
		}
	}

	private _relay(action: () => void): void {
		if (this._options.delayMs > 0) {
			setTimeout(() => {
				if (!this._isBlackholed) {
					action();
				}
			}, this._options.delayMs);
			return;
		}

		if (!this._isBlackholed) {
			action();
		}
	}
}
