import type {ServiceShare} from '../../common/gateway/service-share.js';

/**
Chooses the service of a weighted split whose request count lags most behind its weight, so that even a few requests follow the weights.
@param shares - Services of the split with their weights.
@param counts - Requests per service so far; incremented for the chosen service.
*/
export const chooseWeightedService = (shares: readonly ServiceShare[], counts: Map<string, number>): string | undefined => {
	let chosen: string | undefined;
	let lowestWeightedCount = Number.POSITIVE_INFINITY;
	for (const {service, weight} of shares) {
		const weightedCount = ((counts.get(service) ?? 0) + 1) / weight;
		if (weight > 0 && weightedCount < lowestWeightedCount) {
			lowestWeightedCount = weightedCount;
			chosen = service;
		}
	}

	if (chosen !== undefined) {
		counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
	}

	return chosen;
};
