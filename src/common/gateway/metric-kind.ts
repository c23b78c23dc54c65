/** What a metric's series holds. */
export enum MetricKind {
	Counter = 'counter',
	Gauge = 'gauge',
	Histogram = 'histogram',
}
