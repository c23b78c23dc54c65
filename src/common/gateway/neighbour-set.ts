import type {GatewayMember} from './gateway-member.js';

/** The instances that one instance exchanges messages with. */
export type NeighbourSet = {
	/** The next instance on each ring; these are monitored for failure. */
	readonly successors: readonly GatewayMember[];
	/** Successors and predecessors on all rings. */
	readonly all: readonly GatewayMember[];
};
