import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';

/**
Refutes a record of this instance that others hold and that supersedes its own: one of a predecessor whose clock was ahead, or of a peer that
could not reach this instance. Returns the updated record, or undefined when the own one is the newest.
@param received - Record of this instance as received from others.
*/
export const updateOwnRecord = (own: GatewayMember, received: GatewayMember): GatewayMember | undefined => {
	const isSameIncarnation = received.incarnation === own.incarnation;
	const isSuperseded = received.incarnation > own.incarnation || (isSameIncarnation && (received.revision > own.revision || received.state !== MemberState.Running));
	return own.state === MemberState.Running && isSuperseded
		? {...own, incarnation: Math.max(own.incarnation, received.incarnation), revision: Math.max(own.revision, received.revision) + 1}
		: undefined;
};
