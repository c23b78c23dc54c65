import type {ServiceShare} from '../../common/gateway/service-share.js';
import {chooseWeightedService} from './choose-weighted-service.js';

/** Choices after which the sequence of a split repeats for weights in tenths of a percent. */
const maxSkippedChoices = 1000;

/**
Creates the request counts of a split at a random point of its sequence. If all instances started at the same point, all would choose the
service with the highest weight first, and the fleet would miss the weights as long as each instance gets few requests.
*/
export const createShareCounts = (shares: readonly ServiceShare[], random: () => number): Map<string, number> => {
	const counts = new Map<string, number>();
	const choices = Math.floor(random() * maxSkippedChoices);
	for (let choice = 0; choice < choices; choice++) {
		chooseWeightedService(shares, counts);
	}

	return counts;
};
