import {computeHash} from '../compute-hash.js';

/** Number of rings, on each of which an instance has one successor; their union connects the fleet within a few hops. */
const ringCount = 3;

type Neighbours = {
	/** Ids of the instances that this one probes for failures: its successors. Every instance is probed by as many others. */
	readonly watched: readonly string[];
	/** Ids of the instances to which this one sends changes: successors and predecessors. */
	readonly gossipPeers: readonly string[];
};

/**
Chooses the instances with which an instance gossips. Each ring sorts all ids by a different hash, so that the fan-out
does not depend on the number of instances and few links change when an instance joins or leaves.
@param ids - Ids of all members that are not dead, including `selfId`.
*/
export const chooseNeighbours = (selfId: string, ids: readonly string[]): Neighbours => {
	const watched = new Set<string>();
	const gossipPeers = new Set<string>();
	for (let ring = 0; ring < ringCount; ring++) {
		const sorted = ids
			.map(id => ({id, hash: computeHash(id, ring)}))
			.sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1));
		const index = sorted.findIndex(({id}) => id === selfId);
		const successor = sorted[(index + 1) % sorted.length];
		const predecessor = sorted.at(index - 1);
		if (successor !== undefined && successor.id !== selfId) {
			watched.add(successor.id);
			gossipPeers.add(successor.id);
		}

		if (predecessor !== undefined && predecessor.id !== selfId) {
			gossipPeers.add(predecessor.id);
		}
	}

	return {watched: [...watched], gossipPeers: [...gossipPeers]};
};
