import type {MemberState} from './member-state.js';

/** Membership record of one gateway instance; incarnation, revision and state determine which of two records is newer. */
export type GatewayMember = {
	readonly id: string;
	readonly failureDomain: string;
	/** Address for callers, as host:port. */
	readonly dataAddress: string;
	/** Address for peers, as host:port. */
	readonly peerAddress: string;
	/** Processor time that the instance may use, in cores. */
	readonly cores: number;
	/** Start time of the process, in ms since the epoch; a replacement of the instance has a greater one. */
	readonly incarnation: number;
	/** Increases with each change that the instance makes to its own record. */
	readonly revision: number;
	/** Of two records with the same revision, the one with the higher state takes precedence. */
	readonly state: MemberState;
	/** True while the instance accepts callers and is not shutting down. */
	readonly isServing: boolean;
	/** False while the instance cannot read the registry. */
	readonly canRead: boolean;
};
