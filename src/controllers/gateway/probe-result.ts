import type {TargetLoad} from '../../common/gateway/target-load.js';

/** What a target answered to a health check; undefined fields were not told. */
export type ProbeResult = {
	readonly isHealthy: boolean;
	readonly targetId: string | undefined;
	readonly load: TargetLoad | undefined;
};
