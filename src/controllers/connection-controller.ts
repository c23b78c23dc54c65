import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {TargetSpec} from '../common/target-spec.js';
import {openConnection} from '../io/open-connection.js';
import type {TargetConnection} from '../io/target-connection.js';

type Waiter = {
	readonly demand: ConnectionDemand;
	/** Time at which the request began to wait, in ms. */
	readonly since: number;
	settle(result: Result<TargetConnection, RequestError>): void;
};

type TargetPool = {
	readonly idle: TargetConnection[];
	/** Requests that wait for a connection, in order of arrival. */
	readonly waiters: Waiter[];
	/** Number of connections that are open or being opened. */
	openCount: number;
	/** Number of connections that are being opened. */
	openingCount: number;
	/** Connection limit of this instance, as of the last request. */
	limit: number;
	/** Idle connections that received no data after this time, in ms, are not reused. */
	staleUntil: number;
};

type ConnectionDemand = {
	readonly target: TargetSpec;
	/** Maximum number of connections from this instance to the target. */
	readonly limit: number;
	/** Maximum time since an idle connection last received data, in ms; older connections are not reused. */
	readonly maxReceiveAgeMs: number;
	/** Whether to connect with TLS. */
	readonly tls: boolean;
	/** Time without received data after which a reused connection is closed, in ms; infinite when the request must not be retried. */
	readonly inactivityTimeoutMs: number;
	/** Aborts the wait for a connection; its reason is a `RequestError`. */
	readonly signal: AbortSignal;
};

/** The request that a connection carries. */
type ConnectionUse = {
	readonly pool: TargetPool;
	readonly since: number;
	readonly inactivityTimeoutMs: number;
};

type ConnectionControllerOptions = {
	/** Timeout for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** Certificate authority for TLS to targets, as PEM; undefined for the default certificate authorities. */
	readonly targetCa?: string;
	readonly clock: Clock;
};

/** Time without received data after which a connection that carries a request is suspect, in ms. */
const suspectAfterMs = 250;
const scanIntervalMs = 100;
/**
Maximum number of connections to one target that are opened concurrently. Opening a connection costs more CPU time than a
request. Without this limit, a burst after an idle period opens one connection per request; they slow each other down, and
more requests find no connection.
*/
const maxOpening = 4;

/** Pools the connections to all targets, within this instance's share of each target's connection limit. */
export class ConnectionController implements DisposableLike {
	private readonly _pools = new Map<string, TargetPool>();
	private readonly _uses = new Map<TargetConnection, ConnectionUse>();
	private readonly _scanTimer: NodeJS.Timeout;

	constructor(private readonly _options: ConnectionControllerOptions) {
		this._scanTimer = setInterval(() => {
			this.checkInactivity();
		}, scanIntervalMs).unref();
	}

	/** Takes an idle connection, or waits until one is released or opened. After an error, nothing was sent to the target. */
	async acquireConnection(demand: ConnectionDemand): Promise<Result<TargetConnection, RequestError>> {
		if (demand.signal.aborted) {
			return err(demand.signal.reason as RequestError);
		}

		const pool = this._getPool(demand.target);
		pool.limit = demand.limit;
		const idle = this._takeIdle(pool, demand);
		if (idle !== undefined) {
			this._uses.set(idle, {pool, since: this._options.clock.now(), inactivityTimeoutMs: demand.inactivityTimeoutMs});
			return ok(idle);
		}

		if (pool.openCount >= demand.limit) {
			return err(new RequestError(ErrorKind.ConnectionsExhausted, `${pool.openCount} connections to target ${demand.target.id} are in use, limit ${demand.limit}`));
		}

		return this._waitForConnection(pool, demand);
	}

	/** Returns a connection to its pool after a request, or hands it to a waiting one. */
	releaseConnection(connection: TargetConnection): void {
		const pool = this._uses.get(connection)?.pool;
		this._uses.delete(connection);
		if (pool === undefined || connection.isClosed) {
			return;
		}

		const receiveAgeMs = this._options.clock.now() - connection.lastReceivedAt;
		const waiter = connection.lastReceivedAt > pool.staleUntil ? pool.waiters.find(item => receiveAgeMs <= item.demand.maxReceiveAgeMs) : undefined;
		this._assignConnection(pool, connection, waiter);
	}

	/** Counts the connections to a target that are open or being opened. */
	countConnections(target: TargetSpec): number {
		return this._pools.get(`${target.host}:${target.port}`)?.openCount ?? 0;
	}

	/** Closes every idle connection; called after a pause of the process, during which it could not monitor them. */
	dropIdle(): void {
		for (const pool of this._pools.values()) {
			for (const connection of pool.idle.splice(0)) {
				connection.dispose();
			}
		}
	}

	/**
	Finds connections in use that have received no data for a while. Closes the idle connections of the same pool that have
	received nothing since, as the same fault may affect them, and those in use whose inactivity timeout has elapsed.
	*/
	checkInactivity(): void {
		const now = this._options.clock.now();
		for (const [connection, use] of this._uses) {
			const inactiveSince = Math.max(use.since, connection.lastReceivedAt);
			if (now - inactiveSince < suspectAfterMs) {
				continue;
			}

			this._dropStale(use.pool, inactiveSince);
			if (now - inactiveSince >= use.inactivityTimeoutMs) {
				connection.dispose();
			}
		}
	}

	dispose(): void {
		clearInterval(this._scanTimer);
		this.dropIdle();
		for (const waiter of [...this._pools.values()].flatMap(pool => pool.waiters)) {
			waiter.settle(err(new RequestError(ErrorKind.ShuttingDown, 'the instance is shutting down')));
		}
	}

	private _takeIdle(pool: TargetPool, demand: ConnectionDemand): TargetConnection | undefined {
		const minReceivedAt = this._options.clock.now() - demand.maxReceiveAgeMs;
		for (let index = pool.idle.length - 1; index >= 0; index--) {
			const connection = pool.idle[index];
			if (connection !== undefined && !connection.isClosed && connection.lastReceivedAt >= minReceivedAt && connection.lastReceivedAt > pool.staleUntil) {
				pool.idle.splice(index, 1);
				return connection;
			}
		}

		// At the limit, closes an idle connection that is too old for this request, so that a new one can be opened.
		if (pool.openCount >= demand.limit) {
			pool.idle.shift()?.dispose();
		}

		return undefined;
	}

	private _dropStale(pool: TargetPool, since: number): void {
		pool.staleUntil = Math.max(pool.staleUntil, since);
		for (const connection of pool.idle.filter(item => item.lastReceivedAt <= since)) {
			connection.dispose();
		}
	}

	/** Waits until a connection is released or opened, whichever comes first. */
	private async _waitForConnection(pool: TargetPool, demand: ConnectionDemand): Promise<Result<TargetConnection, RequestError>> {
		return new Promise(resolve => {
			const abort = () => {
				waiter.settle(err(demand.signal.reason as RequestError));
			};

			const waiter: Waiter = {
				demand,
				since: this._options.clock.now(),
				settle(result) {
					demand.signal.removeEventListener('abort', abort);
					pool.waiters.splice(pool.waiters.indexOf(waiter), 1);
					resolve(result);
				},
			};
			demand.signal.addEventListener('abort', abort, {once: true});
			pool.waiters.push(waiter);
			this._openMore(pool);
		});
	}

	/** Opens connections for the waiting requests, a few at a time and within the pool's limit. */
	private _openMore(pool: TargetPool): void {
		const wanted = Math.min(maxOpening, pool.waiters.length);
		for (const {demand} of pool.waiters.slice(pool.openingCount, wanted)) {
			if (pool.openCount < pool.limit) {
				void this._openForWaiters(pool, demand);
			}
		}
	}

	private async _openForWaiters(pool: TargetPool, demand: ConnectionDemand): Promise<void> {
		const startedAt = this._options.clock.now();
		pool.openingCount++;
		const opened = await this._openConnection(pool, demand);
		pool.openingCount--;
		if (opened.isOk()) {
			this._assignConnection(pool, opened.value, pool.waiters[0]);
		} else {
			// Fails the requests that waited for the whole time of this opening; another one would only take as long again.
			for (const waiter of pool.waiters.filter(({since}) => since <= startedAt)) {
				waiter.settle(err(opened.error));
			}
		}

		this._openMore(pool);
	}

	/** Hands a connection to a waiting request, or keeps it idle for the next one. */
	private _assignConnection(pool: TargetPool, connection: TargetConnection, waiter: Waiter | undefined): void {
		if (waiter !== undefined) {
			const inactivityTimeoutMs = connection.requestCount === 0 ? Number.POSITIVE_INFINITY : waiter.demand.inactivityTimeoutMs;
			this._uses.set(connection, {pool, since: this._options.clock.now(), inactivityTimeoutMs});
			waiter.settle(ok(connection));
		} else if (pool.openCount > pool.limit) {
			connection.dispose();
		} else {
			pool.idle.push(connection);
		}
	}

	private async _openConnection(pool: TargetPool, {target, tls}: ConnectionDemand): Promise<Result<TargetConnection, RequestError>> {
		pool.openCount++;
		const {connectTimeoutMs, targetCa, clock} = this._options;
		const opened = await openConnection({
			target, timeoutMs: connectTimeoutMs, clock, tls: tls ? {ca: targetCa} : undefined,
		});
		if (opened.isErr()) {
			pool.openCount--;
			return err(new RequestError(ErrorKind.ConnectFailed, `target ${target.id}: ${opened.error.message}`));
		}

		const connection = opened.value;
		connection.onClosed(() => {
			this._removeConnection(pool, connection);
		});
		return ok(connection);
	}

	private _removeConnection(pool: TargetPool, connection: TargetConnection): void {
		pool.openCount--;
		this._uses.delete(connection);
		const index = pool.idle.indexOf(connection);
		if (index !== -1) {
			pool.idle.splice(index, 1);
		}

		this._openMore(pool);
	}

	private _getPool(target: TargetSpec): TargetPool {
		const key = `${target.host}:${target.port}`;
		let pool = this._pools.get(key);
		if (pool === undefined) {
			pool = {
				idle: [], waiters: [], openCount: 0, openingCount: 0, limit: 0, staleUntil: Number.NEGATIVE_INFINITY,
			};
			this._pools.set(key, pool);
		}

		return pool;
	}
}
