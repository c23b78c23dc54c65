import type {EvacuationOrder} from '../../common/gateway/evacuation-order.js';

/** Whether a set of evacuations is newer than another one. Revisions are compared within an era only, since a restored registry uses them again. */
export const isNewerEvacuation = (set: EvacuationOrder, other: EvacuationOrder): boolean => {
	if (set.generation !== other.generation) {
		return set.generation > other.generation;
	}

	return set.era === other.era ? set.revision > other.revision : set.era > other.era;
};
