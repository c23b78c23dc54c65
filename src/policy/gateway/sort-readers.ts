import type {GatewayMember} from '../../common/gateway/gateway-member.js';

/**
Sorts instances by their precedence as readers of the registry: those whose reads succeed first, then those that are not shutting down,
then those with the most cores, then by id. The first one reads for the fleet; the next ones are on standby.
*/
export const sortReaders = (members: readonly GatewayMember[]): GatewayMember[] => [...members].sort((a, b) =>
	Number(b.canRead) - Number(a.canRead) || Number(b.isServing) - Number(a.isServing) || b.cores - a.cores || (a.id < b.id ? -1 : 1));
