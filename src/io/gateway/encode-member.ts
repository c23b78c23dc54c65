import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {EncodedMember} from './encoded-member.js';

/** Encodes a member in its wire format. */
export const encodeMember = (member: GatewayMember): EncodedMember => [
	member.id, member.failureDomain, member.dataAddress, member.peerAddress, member.cores, member.incarnation, member.revision, member.state, member.isServing, member.canRead,
];
