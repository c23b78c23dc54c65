import {MetricKind} from '../../common/gateway/metric-kind.js';
import type {MetricSeries} from '../../common/gateway/metric-series.js';
import type {Metrics} from '../../common/metrics.js';

type Tags = Readonly<Record<string, string>>;
type Mutable = {-readonly [Key in keyof MetricSeries]: MetricSeries[Key]} & {counts: number[]};

/** Upper bounds of the buckets of a latency histogram, in ms; the objectives of the users' sites lie between 300 and 1500. */
const bucketBoundsMs: readonly number[] = [5, 10, 25, 50, 100, 200, 300, 400, 500, 750, 1000, 1500, 2500, 5000, 10_000];

/** Series that are kept; further ones are dropped, so that no caller can make the process grow. */
const maxSeries = 500;

/** Keeps metrics in memory until they are fetched. */
export class ScrapedMetrics implements Metrics {
	/** Upper bounds of the histograms' buckets, in ms. */
	static readonly bucketBoundsMs = bucketBoundsMs;

	private readonly _series = new Map<string, Mutable>();
	private _droppedCount = 0;

	/** All series, and the number of records that were dropped since there were too many series. */
	get series(): readonly MetricSeries[] {
		return [...this._series.values(), {
			kind: MetricKind.Counter, name: 'metrics.dropped', tags: {}, value: this._droppedCount, counts: [],
		}];
	}

	countEvent(name: string, tags: Tags = {}, amount = 1): void {
		const series = this._find(MetricKind.Counter, name, tags);
		if (series !== undefined) {
			series.value += amount;
		}
	}

	recordGauge(name: string, value: number, tags: Tags = {}): void {
		const series = this._find(MetricKind.Gauge, name, tags);
		if (series !== undefined) {
			series.value = value;
		}
	}

	recordDuration(name: string, durationMs: number, tags: Tags = {}): void {
		const series = this._find(MetricKind.Histogram, name, tags);
		if (series !== undefined) {
			const bucket = bucketBoundsMs.findIndex(bound => durationMs <= bound);
			const index = bucket === -1 ? bucketBoundsMs.length : bucket;
			series.counts[index] = (series.counts[index] ?? 0) + 1;
			series.value += durationMs;
		}
	}

	private _find(kind: MetricKind, name: string, tags: Tags): Mutable | undefined {
		const key = [name, ...Object.values(tags)].join('\n');
		const held = this._series.get(key);
		if (held !== undefined) {
			return held;
		}

		if (this._series.size >= maxSeries) {
			this._droppedCount++;
			return undefined;
		}

		const created: Mutable = {
			kind, name, tags, value: 0, counts: kind === MetricKind.Histogram ? Array.from({length: bucketBoundsMs.length + 1}, () => 0) : [],
		};
		this._series.set(key, created);
		return created;
	}
}
