import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseWeightedService} from './choose-weighted-service.js';

describe('chooseWeightedService', () => {
	it('follows the weights with an error of at most one request per service', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 100}), {minLength: 1, maxLength: 5}), fc.integer({min: 1, max: 300}), (weights, requests) => {
			const shares = weights.map((weight, index) => ({service: `s${index}`, weight}));
			const counts = new Map<string, number>();
			for (let index = 0; index < requests; index++) {
				chooseWeightedService(shares, counts);
			}

			let total = 0;
			for (const weight of weights) {
				total += weight;
			}

			for (const {service, weight} of shares) {
				expect(Math.abs((counts.get(service) ?? 0) - (requests * weight / total))).toBeLessThanOrEqual(weights.length);
			}
		}), {seed: 7, numRuns: 200});
	});

	it.each([
		['an empty split', [], undefined],
		['a service of weight 0', [{service: 'a', weight: 0}, {service: 'b', weight: 1}], 'b'],
		['a single service', [{service: 'a', weight: 5}], 'a'],
	])('handles %s', (_name, shares, expected) => {
		expect(chooseWeightedService(shares, new Map())).toBe(expected);
	});
});
