import type {GatewayTarget} from './gateway-target.js';

/** The targets of a site at one revision of its registry. */
export type TargetList = {
	/** Revision of the registry at the read. */
	readonly revision: number;
	readonly targets: readonly GatewayTarget[];
};
