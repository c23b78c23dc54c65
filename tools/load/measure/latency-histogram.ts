import {build, type Histogram} from 'hdr-histogram-js';

const unitsPerMs = 1000;
const highestMs = 600_000;

/** Latencies in ms with three significant digits and a resolution of one microsecond. */
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

	/** Mean, in ms. */
	get mean(): number {
		return this._histogram.mean / unitsPerMs;
	}

	/** Records a latency in ms. */
	record(latencyMs: number): void {
		this._histogram.recordValue(Math.max(0, Math.min(highestMs * unitsPerMs, Math.round(latencyMs * unitsPerMs))));
	}

	/** Gets the latency in ms that a share of the values in percent does not pass. */
	getPercentile(percent: number): number {
		return this.count === 0 ? 0 : this._histogram.getValueAtPercentile(percent) / unitsPerMs;
	}
}
