import type {DisposableLike} from '../../../src/common/disposable-like.js';
import type {HttpListener} from '../../../src/io/http-listener.js';
import {PerSecondCounter} from '../per-second-counter.js';
import {PlatformReplica} from './platform-replica.js';
import {PlatformStore} from './platform-store.js';

/**
A stand-in for the configuration service: the read-only part of the HTTP API of Consul's key-value store, with blocking queries.
All replicas share the published values and the rate limit; each can lag, freeze or become unavailable.
*/
export class StandInPlatform implements DisposableLike {
	readonly replicas: readonly PlatformReplica[];
	/** Calls to all replicas per second; a blocking query counts once. */
	readonly calls = new PerSecondCounter();
	private readonly _platformStore = new PlatformStore();
	private _callsPerSecond = Number.POSITIVE_INFINITY;

	/** @param replicaCount - Number of replicas, each on its own port. */
	constructor(replicaCount = 1) {
		this.replicas = Array.from({length: replicaCount}, () => new PlatformReplica(this._platformStore, now => this._countCall(now)));
	}

	/** The first replica. */
	get primary(): PlatformReplica {
		return this.replicas[0]!;
	}

	/** The listener of the first replica. */
	get listener(): HttpListener {
		return this.primary.listener;
	}

	/** Base URLs of the replicas. */
	get urls(): readonly string[] {
		return this.replicas.map(replica => `http://127.0.0.1:${replica.listener.port}`);
	}

	/** Number of blocking queries that wait for a change, over all replicas. */
	get waiting(): number {
		return this.replicas.reduce((sum, replica) => sum + replica.waiting, 0);
	}

	/** Starts all replicas. */
	async start(): Promise<void> {
		await Promise.all(this.replicas.map(async replica => replica.start()));
	}

	/** Sets the number of calls per second that all replicas together serve; further calls are refused with 429. */
	setRateLimit(callsPerSecond: number): void {
		this._callsPerSecond = callsPerSecond;
	}

	/** Publishes a value, as an operator would; one that is not a string is stored as JSON. */
	publishValue(key: string, value: unknown): void {
		this._platformStore.publish(key, typeof value === 'string' ? value : JSON.stringify(value), Date.now());
	}

	dispose(): void {
		for (const replica of this.replicas) {
			replica.dispose();
		}
	}

	private _countCall(now: number): boolean {
		this.calls.add(now);
		return this.calls.getCount(now) <= this._callsPerSecond;
	}
}
