import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {HttpListener} from '../../../src/io/http-listener.js';

type Entry = {text: string; modifyIndex: number};
type Waiter = {readonly check: () => boolean; readonly timer: NodeJS.Timeout};

/** A small stand-in for the configuration service: a key-value store with blocking queries, read only over HTTP. */
export class StandInPlatform implements DisposableLike {
	readonly listener = new HttpListener({}, (request, response) => {
		this._answer(request, response);
	});

	private readonly _entries = new Map<string, Entry>();
	private readonly _waiters = new Set<Waiter>();
	private _index = 1;

	/** Publishes a value, as an operator would. */
	publishValue(key: string, value: unknown): void {
		this._index++;
		this._entries.set(key, {text: typeof value === 'string' ? value : JSON.stringify(value), modifyIndex: this._index});
		for (const waiter of this._waiters) {
			if (waiter.check()) {
				clearTimeout(waiter.timer);
				this._waiters.delete(waiter);
			}
		}
	}

	dispose(): void {
		for (const waiter of this._waiters) {
			clearTimeout(waiter.timer);
		}

		this.listener.dispose();
	}

	private _answer(request: IncomingMessage, response: ServerResponse): void {
		const url = new URL(request.url ?? '/', 'http://localhost');
		if (!url.pathname.startsWith('/v1/kv/') || request.method !== 'GET') {
			response.writeHead(405).end();
			return;
		}

		const key = decodeURIComponent(url.pathname.slice('/v1/kv/'.length));
		const isList = url.searchParams.has('keys');
		const index = Number(url.searchParams.get('index') ?? 0);
		const waitMs = Number((url.searchParams.get('wait') ?? '0').replace('ms', ''));
		const respond = () => {
			if (isList) {
				this._respondKeys(key, response);
			} else {
				this._respondValue(key, response);
			}
		};

		if (index === 0 || this._getIndex(key, isList) > index) {
			respond();
			return;
		}

		const waiter: Waiter = {
			check: () => {
				if (this._getIndex(key, isList) <= index) {
					return false;
				}

				respond();
				return true;
			},
			timer: setTimeout(() => {
				this._waiters.delete(waiter);
				respond();
			}, waitMs),
		};
		this._waiters.add(waiter);
		response.once('close', () => {
			clearTimeout(waiter.timer);
			this._waiters.delete(waiter);
		});
	}

	private _getIndex(key: string, isList: boolean): number {
		if (!isList) {
			return this._entries.get(key)?.modifyIndex ?? 1;
		}

		return Math.max(1, ...[...this._entries].filter(([name]) => name.startsWith(key)).map(([, entry]) => entry.modifyIndex));
	}

	private _respondKeys(prefix: string, response: ServerResponse): void {
		const keys = [...this._entries.keys()].filter(name => name.startsWith(prefix));
		this._write(response, keys.length === 0 ? 404 : 200, this._getIndex(prefix, true), keys);
	}

	private _respondValue(key: string, response: ServerResponse): void {
		const entry = this._entries.get(key);
		const value = entry === undefined
			? []
			: [{
				// eslint-disable-next-line @typescript-eslint/naming-convention
				Key: key, Value: Buffer.from(entry.text).toString('base64'), ModifyIndex: entry.modifyIndex, CreateIndex: entry.modifyIndex, LockIndex: 0, Flags: 0,
			}];
		this._write(response, entry === undefined ? 404 : 200, this._getIndex(key, false), value);
	}

	private _write(response: ServerResponse, status: number, index: number, value: unknown): void {
		response.writeHead(status, {'content-type': 'application/json', 'x-consul-index': String(index)});
		response.end(status === 404 ? '' : JSON.stringify(value));
	}
}
