import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {DisposableStore} from '../../../src/common/disposable-store.js';
import {HttpListener} from '../../../src/io/http-listener.js';
import {SecondCounter} from '../second-counter.js';
import {PlatformOutage} from './platform-outage.js';
import type {PlatformStore} from './platform-store.js';
import type {ViewPoint} from './view-point.js';

type Waiter = {readonly check: () => boolean; readonly timer: NodeJS.Timeout};
type Query = {readonly key: string; readonly isList: boolean; readonly index: number; readonly waitMs: number};

const loopback = '127.0.0.1';
const pathPrefix = '/v1/kv/';

const parseQuery = (request: IncomingMessage): Query | undefined => {
	const url = new URL(request.url ?? '/', 'http://localhost');
	if (!url.pathname.startsWith(pathPrefix) || request.method !== 'GET') {
		return undefined;
	}

	return {
		key: decodeURIComponent(url.pathname.slice(pathPrefix.length)),
		isList: url.searchParams.has('keys'),
		index: Number(url.searchParams.get('index') ?? 0),
		waitMs: Number((url.searchParams.get('wait') ?? '0').replace('ms', '')),
	};
};

/** One replica of the stand-in platform: a read-only view of the store that may lag, stand still or be away. */
export class PlatformReplica implements DisposableLike {
	/** Calls answered or refused, by second; a waiting watch counts once in each second in which it begins. */
	readonly calls = new SecondCounter();
	/** Calls refused over the rate limit, by second. */
	readonly limitedCalls = new SecondCounter();
	private readonly _store = new DisposableStore();
	private readonly _waiters = new Set<Waiter>();
	private readonly _hanging = new Set<ServerResponse>();
	private _listener = this._createListener();
	private _port = 0;
	private _outage = PlatformOutage.None;
	private _lagMs = 0;
	/** What a replica that stands still shows; two publications may fall into the same ms, so that a time alone would not do. */
	private _frozenView: ViewPoint | undefined;
	private _lagTimer: NodeJS.Timeout | undefined;

	/**
	@param _values - The store that all replicas share.
	@param _isAllowed - Says whether one more call fits the rate limit.
	*/
	constructor(private readonly _values: PlatformStore, private readonly _isAllowed: (now: number) => boolean) {
		this._store.add(_values.onPublished(() => {
			this._notifyWaiters();
			this._lagTimer = setTimeout(() => {
				this._notifyWaiters();
			}, this._lagMs + 1);
		}));
	}

	/** The listener in use; a new one after an outage. */
	get listener(): HttpListener {
		return this._listener;
	}

	/** Watches that wait now. */
	get waiting(): number {
		return this._waiters.size;
	}

	/** Starts listening; keeps the port of an earlier start. */
	async start(port = this._port): Promise<void> {
		const started = await this._listener.listen({host: loopback, port});
		if (started.isErr()) {
			throw started.error;
		}

		this._port = this._listener.port;
	}

	/** Answers as of some time ago. */
	setLag(lagMs: number): void {
		this._lagMs = lagMs;
	}

	/** Stands still at the present state, or goes on. */
	setFrozen(isFrozen: boolean): void {
		this._frozenView = isFrozen ? this._getView() : undefined;
		this._notifyWaiters();
	}

	/** Goes out of service or comes back. */
	async setOutage(outage: PlatformOutage): Promise<void> {
		const before = this._outage;
		this._outage = outage;
		if (outage === PlatformOutage.Refuse) {
			this._listener.dispose();
		} else if (before === PlatformOutage.Refuse) {
			this._listener = this._createListener();
			await this.start();
		}

		for (const response of this._hanging) {
			response.destroy();
		}

		this._hanging.clear();
	}

	dispose(): void {
		clearTimeout(this._lagTimer);
		for (const waiter of this._waiters) {
			clearTimeout(waiter.timer);
		}

		this._store.dispose();
		this._listener.dispose();
	}

	private _createListener(): HttpListener {
		return new HttpListener({}, (request, response) => {
			this._answer(request, response);
		});
	}

	private _answer(request: IncomingMessage, response: ServerResponse): void {
		const now = Date.now();
		const isAllowed = this._isAllowed(now);
		this.calls.add(now);
		if (this._outage === PlatformOutage.Hang) {
			this._hanging.add(response);
			return;
		}

		const query = parseQuery(request);
		if (query === undefined) {
			response.writeHead(405).end();
		} else if (!isAllowed) {
			this.limitedCalls.add(now);
			response.writeHead(429).end();
		} else if (query.index === 0 || this._getIndex(query) !== query.index) {
			// Consul, too, answers at once when the index has gone back.
			this._respond(query, response);
		} else {
			this._hold(query, response);
		}
	}

	private _hold(query: Query, response: ServerResponse): void {
		const waiter: Waiter = {
			check: () => {
				if (this._getIndex(query) === query.index) {
					return false;
				}

				this._respond(query, response);
				return true;
			},
			timer: setTimeout(() => {
				this._waiters.delete(waiter);
				this._respond(query, response);
			}, query.waitMs),
		};
		this._waiters.add(waiter);
		response.once('close', () => {
			clearTimeout(waiter.timer);
			this._waiters.delete(waiter);
		});
	}

	private _notifyWaiters(): void {
		for (const waiter of this._waiters) {
			if (waiter.check()) {
				clearTimeout(waiter.timer);
				this._waiters.delete(waiter);
			}
		}
	}

	private _getView(): ViewPoint {
		return this._frozenView ?? {at: Date.now() - this._lagMs, index: this._values.index};
	}

	private _getIndex({key, isList}: Query): number {
		const views = isList ? this._values.listValues(key, this._getView()) : [this._values.getValue(key, this._getView())];
		return Math.max(1, ...views.map(view => view?.modifyIndex ?? 1));
	}

	private _respond(query: Query, response: ServerResponse): void {
		const view = this._getView();
		if (query.isList) {
			const keys = this._values.listValues(query.key, view).map(({key}) => key);
			this._write(response, this._getIndex(query), keys.length === 0 ? undefined : keys);
			return;
		}

		const value = this._values.getValue(query.key, view);
		this._write(response, this._getIndex(query), value === undefined
			? undefined
			: [{
				// eslint-disable-next-line @typescript-eslint/naming-convention
				Key: value.key, Value: Buffer.from(value.text).toString('base64'), ModifyIndex: value.modifyIndex, CreateIndex: value.modifyIndex, LockIndex: 0, Flags: 0,
			}]);
	}

	private _write(response: ServerResponse, index: number, value: unknown): void {
		const body = value === undefined ? '' : JSON.stringify(value);
		response.writeHead(value === undefined ? 404 : 200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-consul-index': String(index)});
		response.end(body);
	}
}
