import type {TargetReport} from '../../common/gateway/target-report.js';

/** The response to a health check. */
export type ProbeResult = {
	readonly isHealthy: boolean;
	/** Id of the target that responded; undefined when the response does not state it. */
	readonly targetId: string | undefined;
	readonly report: TargetReport;
};
