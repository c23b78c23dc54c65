import type {ServiceShare} from '../../common/gateway/service-share.js';
import {chooseShare} from './choose-share.js';

/** Choices after which the order of a split repeats for weights in tenths of a percent. */
const maxWarmUpChoices = 1000;

/**
Creates the counts of a split as they are at a random point of its order. Instances that all began at the same point would all choose the
heaviest part first, so that the fleet as a whole would miss the weights while each instance gets few requests.
*/
export const createShareCounts = (shares: readonly ServiceShare[], random: () => number): Map<string, number> => {
	const counts = new Map<string, number>();
	const choices = Math.floor(random() * maxWarmUpChoices);
	for (let choice = 0; choice < choices; choice++) {
		chooseShare(shares, counts);
	}

	return counts;
};
