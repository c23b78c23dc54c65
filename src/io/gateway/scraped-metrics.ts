import {MetricKind} from '../../common/gateway/metric-kind.js';
import type {MetricSeries} from '../../common/gateway/metric-series.js';
import type {Metrics} from '../../common/metrics.js';

type Tags = Readonly<Record<string, string>>;
type MutableSeries = {-readonly [Key in keyof MetricSeries]: MetricSeries[Key]} & {counts: number[]};

/** Upper bounds of the latency histogram buckets, in ms; they cover latency objectives from 300 to 1500 ms. */
const bucketBoundsMs: readonly number[] = [5, 10, 25, 50, 100, 200, 300, 400, 500, 750, 1000, 1500, 2500, 5000, 10_000];

/** Maximum number of series; further ones are dropped, so that callers cannot make memory grow without limit. */
const maxSeries = 500;

/** Keeps metrics in memory until they are scraped. */
export class ScrapedMetrics implements Metrics {
	/** Upper bounds of the histogram buckets, in ms; a last bucket without a bound follows them. */
	static readonly bucketBoundsMs = bucketBoundsMs;

	private readonly _series = new Map<string, MutableSeries>();
	private _droppedCount = 0;

	/** All series, and `metrics.dropped`, the number of records dropped because of the series limit. */
	get series(): readonly MetricSeries[] {
		return [...this._series.values(), {
			kind: MetricKind.Counter, name: 'metrics.dropped', tags: {}, value: this._droppedCount, counts: [],
		}];
	}

	countEvent(name: string, tags: Tags = {}, amount = 1): void {
		const series = this._findOrCreateSeries(MetricKind.Counter, name, tags);
		if (series !== undefined) {
			series.value += amount;
		}
	}

	recordGauge(name: string, value: number, tags: Tags = {}): void {
		const series = this._findOrCreateSeries(MetricKind.Gauge, name, tags);
		if (series !== undefined) {
			series.value = value;
		}
	}

	recordDuration(name: string, durationMs: number, tags: Tags = {}): void {
		const series = this._findOrCreateSeries(MetricKind.Histogram, name, tags);
		if (series !== undefined) {
			const bucket = bucketBoundsMs.findIndex(bound => durationMs <= bound);
			const index = bucket === -1 ? bucketBoundsMs.length : bucket;
			series.counts[index] = (series.counts[index] ?? 0) + 1;
			series.value += durationMs;
		}
	}

	private _findOrCreateSeries(kind: MetricKind, name: string, tags: Tags): MutableSeries | undefined {
		const key = [name, ...Object.values(tags)].join('\n');
		const existing = this._series.get(key);
		if (existing !== undefined) {
			return existing;
		}

		if (this._series.size >= maxSeries) {
			this._droppedCount++;
			return undefined;
		}

		const series: MutableSeries = {
			kind, name, tags, value: 0, counts: kind === MetricKind.Histogram ? Array.from({length: bucketBoundsMs.length + 1}, () => 0) : [],
		};
		this._series.set(key, series);
		return series;
	}
}
