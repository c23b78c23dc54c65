import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {HostGroup} from './host-group.js';
import {rankMember} from './rank-member.js';

const pickHighestRanked = (group: string, members: readonly GatewayMember[]): GatewayMember | undefined => {
	let best: GatewayMember | undefined;
	let bestRank = -1;
	for (const member of members) {
		const rank = rankMember(group, member.id);
		if (rank > bestRank) {
			best = member;
			bestRank = rank;
		}
	}

	return best;
};

/**
Assigns instances to groups of host names as entry points. Each group gets one instance, and the numbers of groups per instance differ by
one at most; remaining instances go to the groups with the most slots per entry. Instances are selected by rendezvous hashing, so that
few callers move when an instance joins or leaves.
*/
export const assignEntries = (groups: readonly HostGroup[], members: readonly GatewayMember[]): Map<string, GatewayMember[]> => {
	const assigned = new Map<string, GatewayMember[]>();
	if (members.length === 0) {
		return assigned;
	}

	const sortedGroups = [...groups].sort((a, b) => b.slots - a.slots || (a.name < b.name ? -1 : 1));
	const entryCounts = new Map(members.map(({id}) => [id, 0]));
	for (const {name} of sortedGroups) {
		const fewestEntries = Math.min(...entryCounts.values());
		const entry = pickHighestRanked(name, members.filter(({id}) => entryCounts.get(id) === fewestEntries));
		if (entry !== undefined) {
			assigned.set(name, [entry]);
			entryCounts.set(entry.id, (entryCounts.get(entry.id) ?? 0) + 1);
		}
	}

	const countEntries = (name: string) => assigned.get(name)?.length ?? 1;
	let unassigned = members.filter(({id}) => entryCounts.get(id) === 0);
	while (unassigned.length > 0 && sortedGroups.length > 0) {
		const [neediest] = [...sortedGroups].sort((a, b) => (b.slots / countEntries(b.name)) - (a.slots / countEntries(a.name)));
		const name = neediest?.name ?? '';
		const entry = pickHighestRanked(name, unassigned);
		assigned.get(name)?.push(...(entry === undefined ? [] : [entry]));
		unassigned = unassigned.filter(member => member !== entry);
	}

	return assigned;
};
