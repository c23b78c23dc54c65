import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RetryBudget} from './retry-budget.js';

const slack = 2;
const options = {ratio: 0.2, getSlack: () => slack, windowMs: 10_000};

describe('RetryBudget', () => {
	it.each([
		['the slack alone', 0, 2],
		['the ratio of ten requests', 10, 4],
		['the ratio of a hundred requests', 100, 22],
	])('allows %s', (_name, requests, allowed) => {
		const budget = new RetryBudget(options);
		for (let index = 0; index < requests; index++) {
			budget.addRequest(0);
		}

		let taken = 0;
		while (budget.tryTake(1)) {
			taken++;
		}

		expect(taken).toBe(allowed);
	});

	it('never allows more in any window than its requests and the slack', () => {
		const step = fc.record({gapMs: fc.integer({min: 0, max: 3000}), isRetry: fc.boolean()});
		fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
			const budget = new RetryBudget(options);
			const requests: number[] = [];
			const retries: number[] = [];
			let now = 0;
			for (const {gapMs, isRetry} of steps) {
				now += gapMs;
				if (!isRetry) {
					budget.addRequest(now);
					requests.push(now);
				} else if (budget.tryTake(now)) {
					retries.push(now);
				}
			}

			for (const end of retries) {
				const inWindow = retries.filter(at => at <= end && at > end - options.windowMs).length;
				// Requests are counted in the window or the one before it, as slices expire as a whole.
				const counted = requests.filter(at => at <= end && at > end - (2 * options.windowMs)).length;
				expect(inWindow).toBeLessThanOrEqual((counted * options.ratio) + slack);
			}
		}), {seed: 11, numRuns: 300});
	});
});
