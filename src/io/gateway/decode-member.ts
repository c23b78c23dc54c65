import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {EncodedMember} from './encoded-member.js';

/** Decodes a member from its wire format. */
export const decodeMember = ([id, failureDomain, dataAddress, peerAddress, cores, incarnation, revision, state, isServing, canRead]: EncodedMember): GatewayMember => ({
	id, failureDomain, dataAddress, peerAddress, cores, incarnation, revision, state, isServing, canRead,
});
