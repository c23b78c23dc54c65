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
	/** Time of the demand, in ms. */
	readonly since: number;
	settle(result: Result<TargetConnection, RequestError>): void;
};

type TargetPool = {
	readonly idle: TargetConnection[];
	/** Requests that wait for a connection, first come first served. */
	readonly waiters: Waiter[];
	/** Connections open or being opened. */
	openCount: number;
	/** Connections being opened. */
	openingCount: number;
	/** Share of this instance as of the last demand. */
	limit: number;
	/** Idle connections without a proof of life after this time are not used. */
	staleUntil: number;
};

type ConnectionDemand = {
	readonly target: TargetSpec;
	/** Connections that this instance may hold to the target. */
	readonly limit: number;
	/** Oldest proof of life that is accepted, in ms; an older connection is not used. */
	readonly maxProofAgeMs: number;
	/** Whether the connection uses TLS. */
	readonly tls: boolean;
	/** Silence after which a reused connection is given up, in ms; infinite when the request must not be sent again. */
	readonly silenceLimitMs: number;
	/** Ends the wait for a connection; its reason is a request error. */
	readonly signal: AbortSignal;
};

/** A connection that carries a request. */
type ConnectionUse = {
	readonly pool: TargetPool;
	readonly since: number;
	readonly silenceLimitMs: number;
};

type ConnectionControllerOptions = {
	/** Time to open a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** Certificate authority of the targets, as PEM; the system's own when undefined. */
	readonly targetCa?: string;
	readonly clock: Clock;
};

/** Time without a byte after which a connection that carries a request is suspect, in ms. */
const suspectAfterMs = 250;
const scanIntervalMs = 100;
/**
Connections that are opened to one target at the same time. Opening costs more processor time than a request: without a
bound a burst after a quiet time opens one for each request, each slows the others, and more requests find none.
*/
const maxOpening = 4;

/** Holds the connections to all targets, within this instance's share of each target's limit. */
export class ConnectionController implements DisposableLike {
	private readonly _pools = new Map<string, TargetPool>();
	private readonly _uses = new Map<TargetConnection, ConnectionUse>();
	private readonly _scanTimer: NodeJS.Timeout;

	constructor(private readonly _options: ConnectionControllerOptions) {
		this._scanTimer = setInterval(() => {
			this.checkInactivity();
		}, scanIntervalMs).unref();
	}

	/** Takes an idle connection, or waits for one that is released or opened; an error proves that nothing was sent. */
	async acquireConnection(demand: ConnectionDemand): Promise<Result<TargetConnection, RequestError>> {
		if (demand.signal.aborted) {
			return err(demand.signal.reason as RequestError);
		}

		const pool = this._getPool(demand.target);
		pool.limit = demand.limit;
		const idle = this._takeIdle(pool, demand);
		if (idle !== undefined) {
			this._uses.set(idle, {pool, since: this._options.clock.now(), silenceLimitMs: demand.silenceLimitMs});
			return ok(idle);
		}

		if (pool.openCount >= demand.limit) {
			return err(new RequestError(ErrorKind.ConnectionsExhausted, `${pool.openCount} connections to target ${demand.target.id} are in use, limit ${demand.limit}`));
		}

		return this._waitForConnection(pool, demand);
	}

	/** Gives a connection back for the next request. */
	releaseConnection(connection: TargetConnection): void {
		const pool = this._uses.get(connection)?.pool;
		this._uses.delete(connection);
		if (pool === undefined || connection.isClosed) {
			return;
		}

		const receiveAgeMs = this._options.clock.now() - connection.lastProofAt;
		const waiter = connection.lastProofAt > pool.staleUntil ? pool.waiters.find(item => receiveAgeMs <= item.demand.maxProofAgeMs) : undefined;
		this._assignConnection(pool, connection, waiter);
	}

	/** Connections open or being opened to a target. */
	countConnections(target: TargetSpec): number {
		return this._pools.get(`${target.host}:${target.port}`)?.openCount ?? 0;
	}

	/** Drops every idle connection, after a time in which this process could not watch them. */
	dropIdle(): void {
		for (const pool of this._pools.values()) {
			for (const connection of pool.idle.splice(0)) {
				connection.dispose();
			}
		}
	}

	/** Finds connections whose request has seen no byte for long, and drops idle ones that may have gone silent with them. */
	checkInactivity(): void {
		const now = this._options.clock.now();
		for (const [connection, use] of this._uses) {
			const inactiveSince = Math.max(use.since, connection.lastProofAt);
			if (now - inactiveSince < suspectAfterMs) {
				continue;
			}

			this._dropStale(use.pool, inactiveSince);
			if (now - inactiveSince >= use.silenceLimitMs) {
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
		const minReceivedAt = this._options.clock.now() - demand.maxProofAgeMs;
		for (let index = pool.idle.length - 1; index >= 0; index--) {
			const connection = pool.idle[index];
			if (connection !== undefined && !connection.isClosed && connection.lastProofAt >= minReceivedAt && connection.lastProofAt > pool.staleUntil) {
				pool.idle.splice(index, 1);
				return connection;
			}
		}

		// At the limit a connection that is too old for this request makes room for a new one.
		if (pool.openCount >= demand.limit) {
			pool.idle.shift()?.dispose();
		}

		return undefined;
	}

	private _dropStale(pool: TargetPool, since: number): void {
		pool.staleUntil = Math.max(pool.staleUntil, since);
		for (const connection of pool.idle.filter(item => item.lastProofAt <= since)) {
			connection.dispose();
		}
	}

	/** Waits for a connection that is released or opened, whichever comes first. */
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

	/** Opens a connection for each request that waits, a few at a time and within the share. */
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
			// Whoever waited all that time would only wait as long again.
			for (const waiter of pool.waiters.filter(({since}) => since <= startedAt)) {
				waiter.settle(err(opened.error));
			}
		}

		this._openMore(pool);
	}

	/** Hands a connection to a request that waits, or keeps it for the next one. */
	private _assignConnection(pool: TargetPool, connection: TargetConnection, waiter: Waiter | undefined): void {
		if (waiter !== undefined) {
			const silenceLimitMs = connection.requestCount === 0 ? Number.POSITIVE_INFINITY : waiter.demand.silenceLimitMs;
			this._uses.set(connection, {pool, since: this._options.clock.now(), silenceLimitMs});
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
