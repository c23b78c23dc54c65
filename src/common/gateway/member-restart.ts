import type {GatewayMember} from './gateway-member.js';

/** A new start of an instance whose earlier one was known. */
export type MemberRestart = {
	/** Record of the new process. */
	readonly member: GatewayMember;
	/** Last known record of the process before it. */
	readonly previous: GatewayMember;
};
