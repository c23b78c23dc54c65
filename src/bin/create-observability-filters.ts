import type {DisposableStore} from '../common/disposable-store.js';
import type {EntrySettings} from '../common/entry-settings.js';
import type {Metrics} from '../common/metrics.js';
import type {Filter} from '../filters/filter.js';
import {MeasureFilter} from '../filters/measure-filter.js';
import {TraceFilter} from '../filters/trace-filter.js';
import {OtlpTracer} from '../io/otlp-tracer.js';
import {systemClock} from '../io/system-clock.js';

/** Creates the filters for metrics and traces; those that the settings disable are left out. */
export const createObservabilityFilters = (settings: EntrySettings, metrics: Metrics, store: DisposableStore): Filter[] => {
	const {tracing, instance} = settings;
	const filters: Filter[] = [];
	if (settings.metrics.enabled) {
		filters.push(new MeasureFilter(metrics, systemClock));
	}

	if (tracing.enabled) {
		filters.push(new TraceFilter(store.add(new OtlpTracer({
			url: tracing.url, sampleRatio: tracing.sampleRatio, instanceId: instance.id, failureDomain: instance.failureDomain,
		}))));
	}

	return filters;
};
