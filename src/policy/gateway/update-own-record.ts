import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';

/**
Updates an instance's own record when others hold one that would go before it: of a predecessor whose clock was ahead, or of a peer that did
not reach this instance. Undefined when its own word is the newest.
@param told - What others say of this instance.
*/
export const updateOwnRecord = (own: GatewayMember, told: GatewayMember): GatewayMember | undefined => {
	const isSameLife = told.incarnation === own.incarnation;
	const isOvertaken = told.incarnation > own.incarnation || (isSameLife && (told.revision > own.revision || told.state !== MemberState.Running));
	return own.state === MemberState.Running && isOvertaken
		? {...own, incarnation: Math.max(own.incarnation, told.incarnation), revision: Math.max(own.revision, told.revision) + 1}
		: undefined;
};
