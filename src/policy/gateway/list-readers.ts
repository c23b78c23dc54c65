import type {GatewayMember} from '../../common/gateway/gateway-member.js';

/**
Orders instances as readers of the registry: those whose reads succeed first, then those that are not stopping, then those with most
processor time, then by id. The first reads for the fleet, the next ones stand ready.
*/
export const listReaders = (members: readonly GatewayMember[]): GatewayMember[] => [...members].sort((a, b) =>
	Number(b.canRead) - Number(a.canRead) || Number(b.isServing) - Number(a.isServing) || b.cores - a.cores || (a.id < b.id ? -1 : 1));
