import {connect, type Socket} from 'node:net';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {Emitter} from '../../../src/common/emitter.js';

type ProxiedConnectionOptions = {
	readonly client: Socket;
	readonly host: string;
	readonly port: number;
	/** Delay of each chunk in each direction, in ms. */
	readonly delayMs: number;
	/** Bytes of answers after which the connection is closed. */
	readonly cutAfterBytes: number;
};

/** One connection through the fault proxy. */
export class ProxiedConnection implements DisposableLike {
	private readonly _upstream: Socket;
	private readonly _onClosed = new Emitter<void>();
	private _isSilent = false;
	private _answerBytes = 0;

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

	/** Fires once the caller's side is closed. */
	get onClosed() {
		return this._onClosed.event;
	}

	/** Swallows every further byte in both directions and tells neither side, also not of a close. */
	drop(): void {
		this._isSilent = true;
	}

	/** Closes both sides with a reset. */
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
			this._pass(() => {
				this._write(from, to, chunk);
			});
		});
		from.once('end', () => {
			this._pass(() => {
				to.end();
			});
		});
		from.once('error', () => {
			this._pass(() => {
				to.destroy();
			});
		});
		from.once('close', () => {
			this._pass(() => {
				to.destroySoon();
			});
		});
	}

	private _write(from: Socket, to: Socket, chunk: Uint8Array): void {
		if (to.destroyed) {
			return;
		}

		if (to !== this._options.client) {
			this._writePaced(from, to, chunk);
			return;
		}

		const left = this._options.cutAfterBytes - this._answerBytes;
		this._answerBytes += chunk.length;
		if (chunk.length < left) {
			this._writePaced(from, to, chunk);
			return;
		}

		to.end(chunk.subarray(0, left));
		this._upstream.destroy();
	}

	private _writePaced(from: Socket, to: Socket, chunk: Uint8Array): void {
		if (!to.write(chunk)) {
			from.pause();
			to.once('drain', () => {
				from.resume();
			});
		}
	}

	private _pass(action: () => void): void {
		if (this._options.delayMs > 0) {
			setTimeout(() => {
				if (!this._isSilent) {
					action();
				}
			}, this._options.delayMs);
			return;
		}

		if (!this._isSilent) {
			action();
		}
	}
}
