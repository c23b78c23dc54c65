import type {GatewayMember} from './gateway-member.js';

/** The instances with which one instance exchanges messages. */
export type NeighbourSet = {
	/** Those that it watches: the next on each ring. */
	readonly successors: readonly GatewayMember[];
	/** All of them, with those that watch it. */
	readonly all: readonly GatewayMember[];
};
