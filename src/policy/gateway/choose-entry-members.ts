import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {rankMember} from './rank-member.js';

/**
Chooses the instances that callers of a service connect to, by rendezvous hashing: the choice changes only for the services
of an instance that comes or goes.
@param service - Name of the service.
@param members - Instances to choose from.
@param count - Instances to choose.
*/
export const chooseEntryMembers = (service: string, members: readonly GatewayMember[], count: number): GatewayMember[] => members
	.map(member => ({member, rank: rankMember(service, member.id)}))
	.sort((a, b) => b.rank - a.rank || (a.member.id < b.member.id ? -1 : 1))
	.slice(0, count)
	.map(({member}) => member);
