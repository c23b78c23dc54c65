import type {GatewayTarget} from './gateway-target.js';

/** The targets of a site at one registry revision. */
export type TargetList = {
	/** Registry revision at the time of the read. */
	readonly revision: number;
	readonly targets: readonly GatewayTarget[];
	/** Records that were refused, since they do not describe a target; absent when the source does not check them. */
	readonly refusedCount?: number;
};
