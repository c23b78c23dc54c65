import type {GatewayTarget} from './gateway-target.js';

/** The targets of a site at one registry revision. */
export type TargetList = {
	/** Registry revision at the time of the read. */
	readonly revision: number;
	readonly targets: readonly GatewayTarget[];
};
