import {MetricKind} from '../../common/gateway/metric-kind.js';
import type {MetricSeries} from '../../common/gateway/metric-series.js';
import {ScrapedMetrics} from './scraped-metrics.js';

type MetricValue = {readonly metricName?: string; readonly labels: Readonly<Record<string, string | number>>; readonly value: number};
type Metric = {readonly name: string; readonly help: string; readonly type: MetricKind; readonly values: MetricValue[]; readonly aggregator: string};

const metricPrefix = 'rattansill_';
const suffixByKind: Readonly<Record<MetricKind, string>> = {[MetricKind.Counter]: '_total', [MetricKind.Gauge]: '', [MetricKind.Histogram]: '_ms'};

const formatName = ({name, kind}: MetricSeries): string => `${metricPrefix}${name.replaceAll('.', '_')}${suffixByKind[kind]}`;

const listBuckets = (name: string, {tags, counts, value}: MetricSeries): MetricValue[] => {
	let cumulativeCount = 0;
	const buckets = counts.map((count, index): MetricValue => {
		cumulativeCount += count;
		return {metricName: `${name}_bucket`, labels: {le: ScrapedMetrics.bucketBoundsMs[index] ?? '+Inf', ...tags}, value: cumulativeCount};
	});
	return [...buckets, {metricName: `${name}_sum`, labels: tags, value}, {metricName: `${name}_count`, labels: tags, value: cumulativeCount}];
};

/** Renders metrics in the Prometheus text format. The library is loaded on the first call, since most processes are never scraped. */
export const renderMetrics = async (series: readonly MetricSeries[]): Promise<string> => {
	const promClient = await import('prom-client');
	const registry = new promClient.Registry();
	const metrics = new Map<string, Metric>();
	for (const entry of series) {
		const name = formatName(entry);
		const metric = metrics.get(name) ?? {
			name, help: entry.name, type: entry.kind, values: [], aggregator: 'sum',
		};
		metrics.set(name, metric);
		metric.values.push(...(entry.kind === MetricKind.Histogram ? listBuckets(name, entry) : [{labels: entry.tags, value: entry.value}]));
	}

	for (const metric of metrics.values()) {
		// The metric classes of prom-client keep their own values; its registry needs only the name and `get` of a metric.
		registry.registerMetric({name: metric.name, get: async () => metric} as unknown as Parameters<typeof registry.registerMetric>[0]);
	}

	return registry.metrics();
};
