import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {maxMemberCount} from '../../common/gateway/max-member-count.js';
import {MemberState} from '../../common/gateway/member-state.js';

/**
Makes this instance's record newer than one that others hold, if that one is newer or says that this instance is not running. Such a record is
left by a predecessor whose clock was ahead, or comes from a peer that could not reach this instance. Returns the updated record, or undefined
when the own one takes precedence or this instance is not running.
@param received - Record of this instance as received from others.
*/
export const refuteRecord = (own: GatewayMember, received: GatewayMember): GatewayMember | undefined => {
	const isSameIncarnation = received.incarnation === own.incarnation;
	const isSuperseded = received.incarnation > own.incarnation || (isSameIncarnation && (received.revision > own.revision || received.state !== MemberState.Running));
	return own.state === MemberState.Running && isSuperseded
		? {
			...own,
			incarnation: Math.min(maxMemberCount, Math.max(own.incarnation, received.incarnation)),
			revision: Math.min(maxMemberCount, Math.max(own.revision, received.revision) + 1),
		}
		: undefined;
};
