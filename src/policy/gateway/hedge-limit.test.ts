import fc from 'fast-check';
import {expect, it} from 'vitest';
import {HedgeLimit} from './hedge-limit.js';

const tolerance = 1e-9;

// Guards against hedges beyond the share that operators allow, over all requests and in every window of four hedges' worth of requests.
it('HedgeLimit allows in any sequence of requests no more hedges than the ratio', () => {
	const ratios = fc.constantFrom(0, 0.01, 0.02, 0.07, 0.3, 1);
	fc.assert(fc.property(ratios, fc.array(fc.integer({min: -6, max: 15}), {maxLength: 80}), (ratio, steps) => {
		const limit = new HedgeLimit(ratio);
		/** Number of requests at each hedge. */
		const hedges: number[] = [];
		let requests = 0;
		for (const step of steps) {
			for (let count = 0; count < step; count++) {
				limit.addRequest();
				requests++;
			}

			for (let count = step; count < 0; count++) {
				const {hasLeft} = limit;
				expect(limit.tryTake()).toBe(hasLeft);
				if (hasLeft) {
					hedges.push(requests);
				}
			}

			const windowStart = requests - (4 / ratio);
			expect(hedges.length).toBeLessThanOrEqual((requests * ratio) + tolerance);
			expect(hedges.filter(at => at > windowStart).length).toBeLessThanOrEqual(4);
		}
	}), {seed: 17, numRuns: 300});
});

it.each([
	['none of the first requests', 0.02, 49, 0],
	['one of as many requests as one hedge takes', 0.02, 50, 1],
	['a few after any number of requests', 0.02, 100_000, 4],
])('HedgeLimit allows %s', (_name, ratio, requests, allowed) => {
	const limit = new HedgeLimit(ratio);
	for (let count = 0; count < requests; count++) {
		limit.addRequest();
	}

	let taken = 0;
	while (limit.tryTake()) {
		taken++;
	}

	expect(taken).toBe(allowed);
});
