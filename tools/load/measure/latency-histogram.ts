import {build, type Histogram} from 'hdr-histogram-js';

const unitsPerMs = 1000;
const highestMs = 600_000;

/** HDR histogram of latencies in ms, with three significant digits and a resolution of one microsecond; values above 600 s are clamped. */
export class LatencyHistogram {
	private readonly _histogram: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: highestMs * unitsPerMs, numberOfSignificantValueDigits: 3, bitBucketSize: 'packed',
	});

	/** Creates a histogram of values in ms. */
	constructor(values: Iterable<number> = []) {
		for (const value of values) {
			this.record(value);
		}
	}

	/** Number of recorded values. */
	get count(): number {
		return this._histogram.totalCount;
	}

	/** Mean latency, in ms. */
	get mean(): number {
		return this._histogram.mean / unitsPerMs;
	}

	/** Records a latency in ms; negative values count as 0. */
	record(latencyMs: number): void {
		this._histogram.recordValue(Math.max(0, Math.min(highestMs * unitsPerMs, Math.round(latencyMs * unitsPerMs))));
	}

	/** Gets a percentile (0 to 100) in ms; 0 when the histogram is empty. */
	getPercentile(percent: number): number {
		return this.count === 0 ? 0 : this._histogram.getValueAtPercentile(percent) / unitsPerMs;
	}
}
