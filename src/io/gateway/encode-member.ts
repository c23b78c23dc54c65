import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {EncodedMember} from './encoded-member.js';

/** Writes a member's record for the wire. */
export const encodeMember = (member: GatewayMember): EncodedMember => [
	member.id, member.failureDomain, member.dataAddress, member.peerAddress, member.cores, member.incarnation, member.revision, member.state, member.isServing, member.canRead,
];
