import {describe, expect, it} from 'vitest';
import {chooseWeightedService} from './choose-weighted-service.js';
import {computeTextHash} from './compute-text-hash.js';
import {createShareCounts} from './create-share-counts.js';

/** Largest difference between a service's fraction of all requests and its weight. */
const allowedDifference = 0.1;

describe('createShareCounts', () => {
	it.each([
		{weights: [70, 30], instances: 125, requests: 1},
		{weights: [70, 30], instances: 125, requests: 2},
		{weights: [90, 10], instances: 125, requests: 3},
		{weights: [50, 30, 20], instances: 300, requests: 1},
		{weights: [60, 40], instances: 18, requests: 12},
	])('lets $instances instances with $requests requests each follow the weights $weights together', ({weights, instances, requests}) => {
		const shares = weights.map((weight, index) => ({service: `s${index}`, weight}));
		const chosen = new Map<string, number>();
		for (let instance = 0; instance < instances; instance++) {
			const counts = createShareCounts(shares, () => computeTextHash(`i-${instance}`) / (2 ** 32));
			for (let request = 0; request < requests; request++) {
				const service = chooseWeightedService(shares, counts) ?? '';
				chosen.set(service, (chosen.get(service) ?? 0) + 1);
			}
		}

		for (const {service, weight} of shares) {
			expect(Math.abs(((chosen.get(service) ?? 0) / (instances * requests)) - (weight / 100))).toBeLessThanOrEqual(allowedDifference);
		}
	});
});
