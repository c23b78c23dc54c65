import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {HostSize} from './host-size.js';
import {rankMember} from './rank-member.js';

const pickBest = (host: string, members: readonly GatewayMember[]): GatewayMember | undefined => {
	let best: GatewayMember | undefined;
	let bestRank = -1;
	for (const member of members) {
		const rank = rankMember(host, member.id);
		if (rank > bestRank) {
			best = member;
			bestRank = rank;
		}
	}

	return best;
};

/**
Assigns instances to host names as entries: each host name gets one, no instance two more than another, and what is left goes where
an entry has most slots to fill. Instances are picked by rendezvous hashing, so that few callers move when one comes or goes.
*/
export const assignEntries = (hosts: readonly HostSize[], members: readonly GatewayMember[]): Map<string, GatewayMember[]> => {
	const assigned = new Map<string, GatewayMember[]>();
	if (members.length === 0) {
		return assigned;
	}

	const ordered = [...hosts].sort((a, b) => b.slots - a.slots || (a.name < b.name ? -1 : 1));
	const counts = new Map(members.map(({id}) => [id, 0]));
	for (const {name} of ordered) {
		const fewest = Math.min(...counts.values());
		const entry = pickBest(name, members.filter(({id}) => counts.get(id) === fewest));
		if (entry !== undefined) {
			assigned.set(name, [entry]);
			counts.set(entry.id, (counts.get(entry.id) ?? 0) + 1);
		}
	}

	const countEntries = (name: string) => assigned.get(name)?.length ?? 1;
	let left = members.filter(({id}) => counts.get(id) === 0);
	while (left.length > 0 && ordered.length > 0) {
		const [neediest] = [...ordered].sort((a, b) => (b.slots / countEntries(b.name)) - (a.slots / countEntries(a.name)));
		const name = neediest?.name ?? '';
		const entry = pickBest(name, left);
		assigned.get(name)?.push(...(entry === undefined ? [] : [entry]));
		left = left.filter(member => member !== entry);
	}

	return assigned;
};
