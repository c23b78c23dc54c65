import {computeHash} from '../compute-hash.js';

/** Rings on which every instance has one successor; their union connects the fleet in a few hops. */
const ringCount = 3;

type Neighbours = {
	/** Instances that this one watches: its successors; every instance is watched by as many. */
	readonly watched: readonly string[];
	/** Instances to which this one passes news: successors and predecessors. */
	readonly told: readonly string[];
};

/**
Chooses the few instances with which one exchanges news. Each ring sorts all ids by a hash of its own, so the fan-out
stays the same for any number of instances and the links change little when one comes or goes.
*/
export const chooseNeighbours = (selfId: string, ids: readonly string[]): Neighbours => {
	const watched = new Set<string>();
	const told = new Set<string>();
	for (let ring = 0; ring < ringCount; ring++) {
		const sorted = ids
			.map(id => ({id, hash: computeHash(id, ring)}))
			.sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1));
		const index = sorted.findIndex(({id}) => id === selfId);
		const successor = sorted[(index + 1) % sorted.length];
		const predecessor = sorted.at(index - 1);
		if (successor !== undefined && successor.id !== selfId) {
			watched.add(successor.id);
			told.add(successor.id);
		}

		if (predecessor !== undefined && predecessor.id !== selfId) {
			told.add(predecessor.id);
		}
	}

	return {watched: [...watched], told: [...told]};
};
