import type {Metrics} from '../common/metrics.js';

/** Metrics for a process that sends none. */
export const disabledMetrics: Metrics = {
	countEvent: () => undefined,
	recordGauge: () => undefined,
	recordDuration: () => undefined,
};
