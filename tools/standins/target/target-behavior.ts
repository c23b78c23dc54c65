import type {ReportMode} from './report-mode.js';
import type {SlowSchedule} from './slow-schedule.js';

/** What can be switched at a stand-in target while it runs; plain data, so that it can be sent to another process. */
export type TargetBehavior = {
	/** Factor by which service times grow. */
	readonly slowFactor: number;
	readonly slowSchedule: SlowSchedule | undefined;
	/** Time after the start during which the target is slow, in ms. */
	readonly coldStartMs: number;
	/** Factor by which service times grow during the cold start. */
	readonly coldFactor: number;
	readonly reportMode: ReportMode;
	/** Age of the reports in mode `Delayed`, in ms. */
	readonly reportDelayMs: number;
	/** Answers carry the drain header, and the load report says so. */
	readonly isDraining: boolean;
	/** Every request is refused as not run. */
	readonly isShedding: boolean;
	/** Every request is answered at once with status 500. */
	readonly isFailingFast: boolean;
	/** What the health endpoint says. */
	readonly isHealthy: boolean;
	/** Requests that wait for a slot; more are refused as not run. */
	readonly queueLimit: number;
	/** Delay added to each request and to each answer, in ms. */
	readonly oneWayDelayMs: number;
	/** Whether a load report rides on each answer. */
	readonly isReportingOnAnswers: boolean;
};
