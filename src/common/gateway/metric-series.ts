import type {MetricKind} from './metric-kind.js';

/** One time series of a scraped metric. */
export type MetricSeries = {
	readonly kind: MetricKind;
	/** Dotted name. */
	readonly name: string;
	readonly tags: Readonly<Record<string, string>>;
	/** Number of events of a counter, value of a gauge, or sum of the durations of a histogram in ms. */
	readonly value: number;
	/** Number of durations in each bucket of a histogram, not cumulative; the last bucket has no upper bound. Empty for other kinds. */
	readonly counts: readonly number[];
};
