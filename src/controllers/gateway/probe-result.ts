import type {TargetLoad} from '../../common/gateway/target-load.js';

/** The response to a health check; a field is undefined when the response does not have it. */
export type ProbeResult = {
	readonly isHealthy: boolean;
	readonly targetId: string | undefined;
	readonly load: TargetLoad | undefined;
};
