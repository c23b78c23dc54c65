import type {LoadReport} from '../../../src/common/load-report.js';

/** Formats a load report for the response header `endpoint-load-metrics`, in the text format of ORCA (Open Request Cost Aggregation). */
export const formatLoadReport = (report: LoadReport, slots: number): string => [
	`TEXT application_utilization=${((report.inFlight + report.queued) / slots).toFixed(3)}`,
	`named_metrics.in_flight=${report.inFlight}`,
	`named_metrics.queued=${report.queued}`,
	`named_metrics.draining=${report.draining ? 1 : 0}`,
].join(', ');
