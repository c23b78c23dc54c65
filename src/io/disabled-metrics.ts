import type {Metrics} from '../common/metrics.js';

/** No-op metrics for a process that reports none. */
export const disabledMetrics: Metrics = {
	countEvent: () => undefined,
	recordGauge: () => undefined,
	recordDuration: () => undefined,
};
