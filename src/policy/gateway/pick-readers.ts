import type {GatewayMember} from '../../common/gateway/gateway-member.js';

const compareReaders = (a: GatewayMember, b: GatewayMember): number =>
	Number(b.canRead) - Number(a.canRead) || Number(b.isServing) - Number(a.isServing) || b.cores - a.cores || (a.id < b.id ? -1 : 1);

/**
Picks the instances that read the registry, in order of precedence: those whose reads succeed first, then those that are not shutting down,
then those with the most cores, then by id. The first one reads for the fleet; the next ones are on standby. One pass is cheaper than
sorting the whole fleet at each change of a member.
@param count - Number of instances to pick.
*/
export const pickReaders = (members: readonly GatewayMember[], count: number): GatewayMember[] => {
	const picked: GatewayMember[] = [];
	for (const member of members) {
		const index = picked.findIndex(other => compareReaders(member, other) < 0);
		if (index !== -1) {
			picked.splice(index, 0, member);
		} else if (picked.length < count) {
			picked.push(member);
		}

		picked.length = Math.min(picked.length, count);
	}

	return picked;
};
