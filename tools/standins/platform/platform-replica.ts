import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {DisposableStore} from '../../../src/common/disposable-store.js';
import {HttpListener} from '../../../src/io/http-listener.js';
import {PerSecondCounter} from '../per-second-counter.js';
import {PlatformOutage} from './platform-outage.js';
import type {PlatformStore} from './platform-store.js';
import type {SnapshotPoint} from './snapshot-point.js';

/** A blocking query that waits for a change; `check` sends the response and returns true once there is one. */
type BlockedQuery = {readonly check: () => boolean; readonly timer: NodeJS.Timeout};
/** A read of a key, or of the keys below a prefix; `index` is 0 for a read that does not block. */
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

/** One replica of the stand-in configuration service: serves the store read-only and can lag, freeze or become unavailable. */
export class PlatformReplica implements DisposableLike {
	/** All calls per second, however they end; a blocking query counts once, in the second in which it begins. */
	readonly calls = new PerSecondCounter();
	/** Calls refused with 429 because of the rate limit, per second. */
	readonly rateLimitedCalls = new PerSecondCounter();
	private readonly _store = new DisposableStore();
	private readonly _blockedQueries = new Set<BlockedQuery>();
	private readonly _hangingResponses = new Set<ServerResponse>();
	private _listener = this._createListener();
	private _port = 0;
	private _outage = PlatformOutage.None;
	private _lagMs = 0;
	/** State that a frozen replica serves; needs the index too, since two publications can fall into the same ms. */
	private _frozenPoint: SnapshotPoint | undefined;
	private _lagTimer: NodeJS.Timeout | undefined;

	/**
	@param _platformStore - Store that all replicas share.
	@param _countCall - Counts a call at a time in ms and returns whether it is within the rate limit.
	*/
	constructor(private readonly _platformStore: PlatformStore, private readonly _countCall: (now: number) => boolean) {
		this._store.add(_platformStore.onPublished(() => {
			this._checkBlockedQueries();
			this._lagTimer = setTimeout(() => {
				this._checkBlockedQueries();
			}, this._lagMs + 1);
		}));
	}

	/** Listener in use; replaced after an outage that refuses connections. */
	get listener(): HttpListener {
		return this._listener;
	}

	/** Number of blocking queries that wait for a change. */
	get waiting(): number {
		return this._blockedQueries.size;
	}

	/** Starts listening, by default on the port of an earlier start; rejects when the port cannot be bound. */
	async start(port = this._port): Promise<void> {
		const started = await this._listener.listen({host: loopback, port});
		if (started.isErr()) {
			throw started.error;
		}

		this._port = this._listener.port;
	}

	/** Serves the state of so many ms ago. */
	setLag(lagMs: number): void {
		this._lagMs = lagMs;
	}

	/** Freezes the served state, or follows the store again. */
	setFrozen(isFrozen: boolean): void {
		this._frozenPoint = isFrozen ? this._getSnapshotPoint() : undefined;
		this._checkBlockedQueries();
	}

	/** Makes the replica unavailable, or available again; connections of hanging calls are closed. */
	async setOutage(outage: PlatformOutage): Promise<void> {
		const previousOutage = this._outage;
		this._outage = outage;
		if (outage === PlatformOutage.Refuse) {
			this._listener.dispose();
		} else if (previousOutage === PlatformOutage.Refuse) {
			this._listener = this._createListener();
			await this.start();
		}

		for (const response of this._hangingResponses) {
			response.destroy();
		}

		this._hangingResponses.clear();
	}

	dispose(): void {
		clearTimeout(this._lagTimer);
		for (const blockedQuery of this._blockedQueries) {
			clearTimeout(blockedQuery.timer);
		}

		this._store.dispose();
		this._listener.dispose();
	}

	private _createListener(): HttpListener {
		return new HttpListener({}, (request, response) => {
			this._handleRequest(request, response);
		});
	}

	private _handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const now = Date.now();
		const isAllowed = this._countCall(now);
		this.calls.add(now);
		if (this._outage === PlatformOutage.Hang) {
			this._hangingResponses.add(response);
			return;
		}

		const query = parseQuery(request);
		if (query === undefined) {
			response.writeHead(405).end();
		} else if (!isAllowed) {
			this.rateLimitedCalls.add(now);
			response.writeHead(429).end();
		} else if (query.index === 0 || this._getIndex(query) !== query.index) {
			// Like Consul, responds at once also when the index has gone backwards.
			this._respond(query, response);
		} else {
			this._holdQuery(query, response);
		}
	}

	private _holdQuery(query: Query, response: ServerResponse): void {
		const blockedQuery: BlockedQuery = {
			check: () => {
				if (this._getIndex(query) === query.index) {
					return false;
				}

				this._respond(query, response);
				return true;
			},
			timer: setTimeout(() => {
				this._blockedQueries.delete(blockedQuery);
				this._respond(query, response);
			}, query.waitMs),
		};
		this._blockedQueries.add(blockedQuery);
		response.once('close', () => {
			clearTimeout(blockedQuery.timer);
			this._blockedQueries.delete(blockedQuery);
		});
	}

	private _checkBlockedQueries(): void {
		for (const blockedQuery of this._blockedQueries) {
			if (blockedQuery.check()) {
				clearTimeout(blockedQuery.timer);
				this._blockedQueries.delete(blockedQuery);
			}
		}
	}

	private _getSnapshotPoint(): SnapshotPoint {
		return this._frozenPoint ?? {at: Date.now() - this._lagMs, index: this._platformStore.index};
	}

	private _getIndex({key, isList}: Query): number {
		const values = isList ? this._platformStore.listValues(key, this._getSnapshotPoint()) : [this._platformStore.getValue(key, this._getSnapshotPoint())];
		return Math.max(1, ...values.map(value => value?.modifyIndex ?? 1));
	}

	private _respond(query: Query, response: ServerResponse): void {
		const snapshotPoint = this._getSnapshotPoint();
		if (query.isList) {
			const keys = this._platformStore.listValues(query.key, snapshotPoint).map(({key}) => key);
			this._writeResponse(response, this._getIndex(query), keys.length === 0 ? undefined : keys);
			return;
		}

		const value = this._platformStore.getValue(query.key, snapshotPoint);
		this._writeResponse(response, this._getIndex(query), value === undefined
			? undefined
			: [{
				// eslint-disable-next-line @typescript-eslint/naming-convention
				Key: value.key, Value: Buffer.from(value.text).toString('base64'), ModifyIndex: value.modifyIndex, CreateIndex: value.modifyIndex, LockIndex: 0, Flags: 0,
			}]);
	}

	private _writeResponse(response: ServerResponse, index: number, value: unknown): void {
		const body = value === undefined ? '' : JSON.stringify(value);
		response.writeHead(value === undefined ? 404 : 200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-consul-index': String(index)});
		response.end(body);
	}
}
