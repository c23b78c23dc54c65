import type {MetricKind} from './metric-kind.js';

/** One time series of a metric that is read by scraping. */
export type MetricSeries = {
	readonly kind: MetricKind;
	/** Dotted name. */
	readonly name: string;
	readonly tags: Readonly<Record<string, string>>;
	/** Sum of the events, the gauge's value, or the sum of the durations in ms. */
	readonly value: number;
	/** Durations up to each bound of the histogram, one more for all; empty for other kinds. */
	readonly counts: readonly number[];
};
