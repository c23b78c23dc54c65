import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {NeighbourSet} from '../../common/gateway/neighbour-set.js';
import {computeTextHash} from './compute-text-hash.js';

/** Rings on which all instances stand; with three, news reach all others also while a third of the instances do not answer. */
const ringCount = 3;

/** Counts the pieces in which a failure domain stands on a ring: more for a large one, so that it stays linked to the others while many do not answer. */
const countPieces = (size: number): number => Math.max(1, Math.floor(Math.log2(size)) - 2);

/** Orders instances on a ring: by pieces of failure domains, so that few links lead from one domain to another, then by hash. */
const sortRing = (members: readonly GatewayMember[], ring: number): GatewayMember[] => {
	const sizes = new Map<string, number>();
	for (const {failureDomain} of members) {
		sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1);
	}

	return members
		.map(member => {
			const rank = computeTextHash(`${ring} ${member.id}`);
			const piece = rank % countPieces(sizes.get(member.failureDomain) ?? 1);
			return {member, rank, pieceRank: computeTextHash(`${ring} ${piece} ${member.failureDomain}`)};
		})
		.sort((a, b) => a.pieceRank - b.pieceRank || a.rank - b.rank || (a.member.id < b.member.id ? -1 : 1))
		.map(({member}) => member);
};

/**
Chooses the instances next to one on several rings (Karger and others, 1997; random permutations as overlay: Law and Siu, 2003). Their number
does not grow with the fleet, and news passed along the links reach all in a number of steps that grows with its logarithm.
@param members - Running instances, the one itself included.
*/
export const chooseNeighbours = (members: readonly GatewayMember[], selfId: string): NeighbourSet => {
	const successors = new Map<string, GatewayMember>();
	const all = new Map<string, GatewayMember>();
	for (let ring = 0; ring < ringCount; ring++) {
		const ordered = sortRing(members, ring);
		const index = ordered.findIndex(({id}) => id === selfId);
		const next = ordered[(index + 1) % ordered.length];
		const previous = ordered.at(index - 1);
		if (next !== undefined && next.id !== selfId) {
			successors.set(next.id, next);
			all.set(next.id, next);
		}

		if (previous !== undefined && previous.id !== selfId) {
			all.set(previous.id, previous);
		}
	}

	return {successors: [...successors.values()], all: [...all.values()]};
};
