import type {ReportMode} from './report-mode.js';
import type {SlowSchedule} from './slow-schedule.js';

/** Behavior of a stand-in target that can be changed while it runs; plain data, since it is sent between processes. */
export type TargetBehavior = {
	/** Factor by which service times are multiplied. */
	readonly slowFactor: number;
	/** Slow episodes in addition to `slowFactor`. */
	readonly slowSchedule: SlowSchedule | undefined;
	/** Duration of the cold start, in ms. */
	readonly coldStartMs: number;
	/** Factor by which service times are multiplied during the cold start. */
	readonly coldFactor: number;
	/** How the load reports relate to the true load. */
	readonly reportMode: ReportMode;
	/** Age of the reports in mode `Delayed`, in ms. */
	readonly reportDelayMs: number;
	/** Whether responses carry the drain header and load reports the drain flag. */
	readonly isDraining: boolean;
	/** Whether every request is refused without running (status 503). */
	readonly isShedding: boolean;
	/** Whether every request fails immediately with status 500. */
	readonly isFailingFast: boolean;
	/** Result of the health endpoint. */
	readonly isHealthy: boolean;
	/** Maximum number of requests that wait for a slot; further ones are refused without running. */
	readonly queueLimit: number;
	/** Network delay added to each request and to each response, in ms. */
	readonly oneWayDelayMs: number;
	/** Whether each response carries a load report. */
	readonly isReportingOnAnswers: boolean;
};
