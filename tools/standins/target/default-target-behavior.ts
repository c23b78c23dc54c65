import {ReportMode} from './report-mode.js';
import type {TargetBehavior} from './target-behavior.js';

/** A healthy target without network delay that reports its true load. */
export const defaultTargetBehavior: TargetBehavior = {
	slowFactor: 1,
	slowSchedule: undefined,
	coldStartMs: 0,
	coldFactor: 4,
	reportMode: ReportMode.Honest,
	reportDelayMs: 0,
	isDraining: false,
	isShedding: false,
	isFailingFast: false,
	isHealthy: true,
	queueLimit: 1000,
	oneWayDelayMs: 0,
	isReportingOnAnswers: true,
};
