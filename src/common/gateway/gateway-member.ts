import type {MemberState} from './member-state.js';

/** What is known of one gateway instance, with the order in which it became known. */
export type GatewayMember = {
	readonly id: string;
	readonly failureDomain: string;
	/** Address for callers, as host:port. */
	readonly dataAddress: string;
	/** Address for peers, as host:port. */
	readonly peerAddress: string;
	/** Processor time that the instance may use, in cores. */
	readonly cores: number;
	/** Start of the process, in ms since the epoch; a replaced instance has a greater one. */
	readonly incarnation: number;
	/** Grows with each change that the instance makes to its record. */
	readonly revision: number;
	/** Of two records of one revision the one with the higher state holds. */
	readonly state: MemberState;
	/** True while the instance serves callers and is not stopping. */
	readonly isServing: boolean;
	/** False while the instance's reads of the registry fail. */
	readonly canRead: boolean;
};
