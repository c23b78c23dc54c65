import {MetricKind} from '../../common/gateway/metric-kind.js';
import type {MetricSeries} from '../../common/gateway/metric-series.js';
import {ScrapedMetrics} from './scraped-metrics.js';

type Value = {readonly metricName?: string; readonly labels: Readonly<Record<string, string | number>>; readonly value: number};
type Metric = {readonly name: string; readonly help: string; readonly type: MetricKind; readonly values: Value[]; readonly aggregator: string};

const prefix = 'rattansill_';
const suffixes: Readonly<Record<MetricKind, string>> = {[MetricKind.Counter]: '_total', [MetricKind.Gauge]: '', [MetricKind.Histogram]: '_ms'};

const formatName = ({name, kind}: MetricSeries): string => `${prefix}${name.replaceAll('.', '_')}${suffixes[kind]}`;

const listBuckets = (name: string, {tags, counts, value}: MetricSeries): Value[] => {
	let total = 0;
	const buckets = counts.map((count, index): Value => {
		total += count;
		return {metricName: `${name}_bucket`, labels: {le: ScrapedMetrics.bucketBoundsMs[index] ?? '+Inf', ...tags}, value: total};
	});
	return [...buckets, {metricName: `${name}_sum`, labels: tags, value}, {metricName: `${name}_count`, labels: tags, value: total}];
};

/** Writes metrics in the Prometheus text format. The library is loaded at the first call, since most processes are never asked. */
export const renderMetrics = async (series: readonly MetricSeries[]): Promise<string> => {
	const library = await import('prom-client');
	const registry = new library.Registry();
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
		// The library's own metric classes count for themselves; a registry asks a metric only for its name and values.
		registry.registerMetric({name: metric.name, get: async () => metric} as unknown as Parameters<typeof registry.registerMetric>[0]);
	}

	return registry.metrics();
};
