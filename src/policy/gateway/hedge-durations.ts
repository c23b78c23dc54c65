// The entry point of the package also loads its WebAssembly build and its log formats: 138 instead of 29 KB of the bundle, and 7 MB more of memory.
import {constructorFromBucketSize} from 'hdr-histogram-js/dist/JsHistogramFactory.js';

const lowestMs = 1;
const highestMs = 60_000;
const significantDigits = 2;
/** Interval after which the older durations are dropped, in ms; the quantile covers one to two intervals. */
const rotationMs = 30_000;
/** Number of durations from which the quantile is known: with fewer, the slowest one alone would decide it. */
const minCount = 20;

const createHistogram = () => new (constructorFromBucketSize(32))(lowestMs, highestMs, significantDigits);

/** Quantiles of the durations of alike requests in the last tens of seconds. */
export class HedgeDurations {
	/** Durations of the current interval and the one before. */
	private _recent = createHistogram();
	/** Durations of the current interval. */
	private _current = createHistogram();
	private _intervalStartedAt = Number.NEGATIVE_INFINITY;

	/** Adds the duration of a request, in ms. */
	record(durationMs: number, now: number): void {
		this._rotate(now);
		const value = Math.round(Math.min(highestMs, Math.max(lowestMs, durationMs)));
		this._recent.recordValue(value);
		this._current.recordValue(value);
	}

	/**
	Gets a quantile, in ms; undefined while too few durations are known.
	@param fraction - Fraction of the durations that are not longer, 0 to 1.
	*/
	getQuantileMs(fraction: number, now: number): number | undefined {
		this._rotate(now);
		const {totalCount} = this._recent;
		return totalCount < minCount || totalCount * (1 - fraction) < 1 ? undefined : this._recent.getValueAtPercentile(fraction * 100);
	}

	private _rotate(now: number): void {
		const ageMs = now - this._intervalStartedAt;
		if (ageMs < rotationMs) {
			return;
		}

		[this._recent, this._current] = [this._current, this._recent];
		this._current.reset();
		if (ageMs >= 2 * rotationMs) {
			this._recent.reset();
		}

		this._intervalStartedAt = now;
	}
}
