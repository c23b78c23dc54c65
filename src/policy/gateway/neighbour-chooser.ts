import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {NeighbourSet} from '../../common/gateway/neighbour-set.js';
import {RingPositionCache} from './ring-position-cache.js';
import type {RingPosition} from './ring-position.js';

type RingMember = Pick<GatewayMember, 'id' | 'failureDomain'>;
type PositionedMember = {readonly member: GatewayMember; readonly positions: readonly RingPosition[]};

/** Number of rings that contain all instances; with three, changes reach all others even while a third of the instances do not respond. */
const ringCount = 3;

/**
Computes the number of segments of a failure domain on a ring: more for a large one, so that it stays connected to the others while many instances
do not respond. A domain has one segment up to 15 instances, two from 16, and one more with each further doubling.
*/
const countSegments = (size: number): number => Math.max(1, Math.floor(Math.log2(size)) - 2);

/** Whether a position precedes another on its ring; each segment of a failure domain is contiguous, so that few links cross between domains. */
const isBefore = (a: RingPosition, b: RingPosition): boolean => {
	if (a.segmentRank !== b.segmentRank) {
		return a.segmentRank < b.segmentRank;
	}

	return a.rank === b.rank ? a.id < b.id : a.rank < b.rank;
};

/** Finds the instances after and before a position on a ring, with wrap-around; one pass is cheaper than sorting all positions. */
const findAdjacent = (others: readonly PositionedMember[], ring: number, own: RingPosition): {next: GatewayMember | undefined; previous: GatewayMember | undefined} => {
	let next: GatewayMember | undefined;
	let previous: GatewayMember | undefined;
	let nextPosition = own;
	let previousPosition = own;
	for (const {member, positions} of others) {
		const position = positions[ring] ?? own;
		const isAfterOwn = isBefore(own, position);
		// `next` has the first position after the own one, or the first on the ring if none follows; `previous` has the last one before it, or the last on the ring.
		if (next === undefined || (isAfterOwn === isBefore(own, nextPosition) ? isBefore(position, nextPosition) : isAfterOwn)) {
			next = member;
			nextPosition = position;
		}

		if (previous === undefined || (isAfterOwn === isBefore(own, previousPosition) ? isBefore(previousPosition, position) : !isAfterOwn)) {
			previous = member;
			previousPosition = position;
		}
	}

	return {next, previous};
};

/**
Chooses the adjacent instances on several rings (consistent hashing: Karger et al., 1997; overlay of random permutations: Law and Siu,
2003). Their number does not grow with the fleet, and changes reach all instances in a number of hops that grows with its logarithm.
*/
export class NeighbourChooser {
	private readonly _positions = new RingPositionCache(ringCount);

	/** @param _self - The instance whose neighbours are chosen. */
	constructor(private readonly _self: RingMember) {}

	/** @param members - Running instances; the instance itself is no longer among them while it shuts down. */
	chooseNeighbours(members: readonly GatewayMember[]): NeighbourSet {
		const others = members.filter(({id}) => id !== this._self.id);
		const sizes = new Map<string, number>();
		for (const {failureDomain} of [this._self, ...others]) {
			sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1);
		}

		const getPositions = (member: RingMember) => this._positions.getPositions(member, countSegments(sizes.get(member.failureDomain) ?? 1));
		const positionedMembers = others.map(member => ({member, positions: getPositions(member)}));
		const successors = new Map<string, GatewayMember>();
		const all = new Map<string, GatewayMember>();
		for (const [ring, own] of getPositions(this._self).entries()) {
			const {next, previous} = findAdjacent(positionedMembers, ring, own);
			if (next !== undefined) {
				successors.set(next.id, next);
				all.set(next.id, next);
			}

			if (previous !== undefined) {
				all.set(previous.id, previous);
			}
		}

		this._positions.evictEnded(members.length);
		return {successors: [...successors.values()], all: [...all.values()]};
	}
}
