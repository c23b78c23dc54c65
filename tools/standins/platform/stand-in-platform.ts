import type {DisposableLike} from '../../../src/common/disposable-like.js';
import type {HttpListener} from '../../../src/io/http-listener.js';
import {SecondCounter} from '../second-counter.js';
import {PlatformReplica} from './platform-replica.js';
import {PlatformStore} from './platform-store.js';

/**
A small stand-in for the configuration service: a key-value store with blocking queries, read only over HTTP.
All replicas share the published values and the rate limit; each may lag, stand still or be away.
*/
export class StandInPlatform implements DisposableLike {
	readonly replicas: readonly PlatformReplica[];
	/** Calls and beginning watches of all replicas by second. */
	readonly calls = new SecondCounter();
	private readonly _values = new PlatformStore();
	private _callsPerSecond = Number.POSITIVE_INFINITY;

	/** @param replicaCount - Replicas, each with a port of its own. */
	constructor(replicaCount = 1) {
		this.replicas = Array.from({length: replicaCount}, () => new PlatformReplica(this._values, now => this._countCall(now)));
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

	/** Watches that wait now at all replicas. */
	get waiting(): number {
		return this.replicas.reduce((sum, replica) => sum + replica.waiting, 0);
	}

	/** Starts all replicas. */
	async start(): Promise<void> {
		await Promise.all(this.replicas.map(async replica => replica.start()));
	}

	/** Sets the calls that all replicas together answer in a second; more are answered with 429. */
	setRateLimit(callsPerSecond: number): void {
		this._callsPerSecond = callsPerSecond;
	}

	/** Publishes a value, as an operator would. */
	publishValue(key: string, value: unknown): void {
		this._values.publish(key, typeof value === 'string' ? value : JSON.stringify(value), Date.now());
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
