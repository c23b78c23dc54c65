/** Type of a metric. */
export enum MetricKind {
	Counter = 'counter',
	Gauge = 'gauge',
	Histogram = 'histogram',
}
