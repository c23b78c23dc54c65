import {describe, expect, it} from 'vitest';
import {computeSlowFactor} from './compute-slow-factor.js';

const schedule = {
	seed: 3, share: 0.1, factor: 4, episodeMs: 100, startedAt: 1000,
};

describe('computeSlowFactor', () => {
	it.each([
		{name: 'no schedule', schedule: undefined, now: 5000},
		{name: 'a time before the start', schedule, now: 999},
	])('is 1 for $name', ({schedule: given, now}) => {
		expect(computeSlowFactor(given, 0, now)).toBe(1);
	});

	it('is slow for about the given fraction of episodes and deterministic for a seed', () => {
		const factors = Array.from({length: 4000}, (_, index) => computeSlowFactor(schedule, 5, 1000 + (index * 100)));
		const share = factors.filter(factor => factor === 4).length / factors.length;
		expect(share).toBeGreaterThan(0.08);
		expect(share).toBeLessThan(0.12);
		expect(factors).toEqual(factors.map((_, index) => computeSlowFactor(schedule, 5, 1050 + (index * 100))));
	});
});
