import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';

/**
Updates an instance's own record when others hold one that would go before it: of a predecessor whose clock was ahead, or of a peer that did
not reach this instance. Undefined when its own word is the newest.
@param received - What others say of this instance.
*/
export const updateOwnRecord = (own: GatewayMember, received: GatewayMember): GatewayMember | undefined => {
	const isSameIncarnation = received.incarnation === own.incarnation;
	const isSuperseded = received.incarnation > own.incarnation || (isSameIncarnation && (received.revision > own.revision || received.state !== MemberState.Running));
	return own.state === MemberState.Running && isSuperseded
		? {...own, incarnation: Math.max(own.incarnation, received.incarnation), revision: Math.max(own.revision, received.revision) + 1}
		: undefined;
};
