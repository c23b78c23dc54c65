import {StatsD} from 'hot-shots';
import type {DisposableLike} from '../common/disposable-like.js';
import type {Metrics} from '../common/metrics.js';

type Tags = Readonly<Record<string, string>>;

/** Sends metrics over UDP in the StatsD format. When the receiver is unreachable, packets are lost and nothing else is affected. */
export class StatsdMetrics implements Metrics, DisposableLike {
	private readonly _client: StatsD;

	constructor(options: {readonly host: string; readonly port: number; readonly prefix: string; readonly instanceId: string}) {
		this._client = new StatsD({
			host: options.host,
			port: options.port,
			prefix: options.prefix,
			globalTags: {instance: options.instanceId},
			maxBufferSize: 1400,
			bufferFlushInterval: 1000,
			errorHandler: () => undefined,
		});
	}

	countEvent(name: string, tags: Tags = {}, amount = 1): void {
		this._client.increment(name, amount, tags);
	}

	recordGauge(name: string, value: number, tags: Tags = {}): void {
		this._client.gauge(name, value, tags);
	}

	recordDuration(name: string, durationMs: number, tags: Tags = {}): void {
		this._client.distribution(name, durationMs, tags);
	}

	dispose(): void {
		this._client.close(() => undefined);
	}
}
