import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RequestClass} from '../../../src/common/request-class.js';
import {computeRate} from './compute-rate.js';
import {createArrivals} from './create-arrivals.js';
import type {Demand} from './demand.js';

const demand: Demand = {
	ratePerSecond: 500, swing: 0.3, swingPeriodMs: 2000, crestFactor: 1, crestEveryMs: 10_000, crestMs: 0,
};
const createKind = (name: string, share: number, isLong: boolean) => ({
	name, method: 'GET' as const, path: '/', requestClass: RequestClass.Interactive, isLong, share, medianMs: isLong ? 400 : 20, sigma: 0.36, deadlineMs: 2000,
});
const kinds = [createKind('short', 0.97, false), createKind('long', 0.03, true)];

describe('computeRate', () => {
	it.each([
		{
			name: 'the middle of a swing', change: {}, atMs: 0, rate: 500,
		},
		{
			name: 'the top of a swing', change: {}, atMs: 500, rate: 650,
		},
		{
			name: 'the bottom of a swing', change: {}, atMs: 1500, rate: 350,
		},
		{
			name: 'a crest', change: {swing: 0, crestFactor: 1.5, crestMs: 2000}, atMs: 2000, rate: 750,
		},
		{
			name: 'after a crest', change: {swing: 0, crestFactor: 1.5, crestMs: 2000}, atMs: 3000, rate: 500,
		},
	])('is $rate at $name', ({change, atMs, rate}) => {
		expect(computeRate({...demand, ...change}, atMs)).toBeCloseTo(rate);
	});
});

describe('createArrivals', () => {
	const plan = {
		seed: 7, demand, durationMs: 20_000, kinds, callers: 8,
	};

	it('matches the requested rate, shares of kinds and service times', () => {
		const arrivals = createArrivals(plan);
		const long = arrivals.filter(arrival => arrival.kind === 1);
		const shortTimes = arrivals.filter(arrival => arrival.kind === 0).map(arrival => arrival.serviceMs).toSorted((a, b) => a - b);
		expect(arrivals.length / 20).toBeGreaterThan(470);
		expect(arrivals.length / 20).toBeLessThan(530);
		expect(long.length / arrivals.length).toBeCloseTo(0.03, 2);
		expect(shortTimes[Math.floor(shortTimes.length / 2)]).toBeCloseTo(20, -0.5);
	});

	it('is deterministic for a seed, ordered by time and within its bounds', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 1_000_000}), fc.integer({min: 1, max: 2000}), (seed, durationMs) => {
			const arrivals = createArrivals({...plan, seed, durationMs});
			expect(createArrivals({...plan, seed, durationMs})).toEqual(arrivals);
			for (const [index, arrival] of arrivals.entries()) {
				expect(arrival.atMs).toBeGreaterThanOrEqual(arrivals[index - 1]?.atMs ?? 0);
				expect(arrival.atMs).toBeLessThan(durationMs);
				expect(arrival.caller).toBeLessThan(8);
			}
		}), {seed: 11, numRuns: 50});
	});
});
