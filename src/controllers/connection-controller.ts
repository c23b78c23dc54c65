import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {TargetSpec} from '../common/target-spec.js';
import {openConnection} from '../io/open-connection.js';
import type {TargetConnection} from '../io/target-connection.js';

type TargetPool = {
	readonly idle: TargetConnection[];
	openCount: number;
};

type ConnectionDemand = {
	readonly target: TargetSpec;
	/** Connections that this instance may hold to the target. */
	readonly limit: number;
	/** Oldest proof of life that is accepted, in ms; an older connection is not used. */
	readonly maxProofAgeMs: number;
};

type ConnectionControllerOptions = {
	/** Time to open a connection, in ms. */
	readonly connectTimeoutMs: number;
	readonly clock: Clock;
};

/** Holds the connections to all targets, within this instance's share of each target's limit. */
export class ConnectionController implements DisposableLike {
	private readonly _pools = new Map<string, TargetPool>();

	constructor(private readonly _options: ConnectionControllerOptions) {}

	/** Takes an idle connection or opens one; an error proves that nothing was sent. */
	async acquireConnection(demand: ConnectionDemand): Promise<Result<TargetConnection, RequestError>> {
		const pool = this._getPool(demand.target);
		const oldestProofAt = this._options.clock.now() - demand.maxProofAgeMs;
		for (let connection = pool.idle.pop(); connection !== undefined; connection = pool.idle.pop()) {
			if (!connection.isClosed && connection.lastProofAt >= oldestProofAt) {
				return ok(connection);
			}

			connection.dispose();
		}

		if (pool.openCount >= demand.limit) {
			return err(new RequestError(ErrorKind.ConnectionsExhausted, `${pool.openCount} connections to target ${demand.target.id} are in use, limit ${demand.limit}`));
		}

		return this._openConnection(demand.target, pool);
	}

	/** Gives a connection back for the next request. */
	releaseConnection(target: TargetSpec, connection: TargetConnection): void {
		if (!connection.isClosed) {
			this._getPool(target).idle.push(connection);
		}
	}

	dispose(): void {
		for (const pool of this._pools.values()) {
			for (const connection of pool.idle.splice(0)) {
				connection.dispose();
			}
		}
	}

	private async _openConnection(target: TargetSpec, pool: TargetPool): Promise<Result<TargetConnection, RequestError>> {
		pool.openCount++;
		const opened = await openConnection(target, this._options.connectTimeoutMs, this._options.clock);
		if (opened.isErr()) {
			pool.openCount--;
			return err(new RequestError(ErrorKind.ConnectFailed, `target ${target.id}: ${opened.error.message}`));
		}

		const connection = opened.value;
		connection.onClosed(() => {
			pool.openCount--;
			const index = pool.idle.indexOf(connection);
			if (index !== -1) {
				pool.idle.splice(index, 1);
			}
		});
		return ok(connection);
	}

	private _getPool(target: TargetSpec): TargetPool {
		const key = `${target.host}:${target.port}`;
		let pool = this._pools.get(key);
		if (pool === undefined) {
			pool = {idle: [], openCount: 0};
			this._pools.set(key, pool);
		}

		return pool;
	}
}
