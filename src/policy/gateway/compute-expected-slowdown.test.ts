import {describe, expect, it} from 'vitest';
import {computeExpectedSlowdown} from './compute-expected-slowdown.js';

describe('computeExpectedSlowdown', () => {
	it.each([
		['an idle target', {running: 0, slots: 2, slowdown: 1}, 0, false, 1],
		['a target slowed by other load on its machine', {running: 0, slots: 2, slowdown: 4}, 0, false, 4],
		['the last slot', {running: 1, slots: 2, slowdown: 1}, 0, false, 1.7],
		['the last slot, counting in-flight requests that the report lacks', {running: 0, slots: 2, slowdown: 1}, 1, false, 1.7],
		['the fourth of six slots', {running: 3, slots: 6, slowdown: 1}, 0, false, 1],
		['the fifth of six slots', {running: 4, slots: 6, slowdown: 1}, 0, false, 1.7],
		['a target that is warming up', {running: 0, slots: 2, slowdown: 1}, 0, true, 2],
	])('of %s', (_name, load, inFlight, isWarming, factor) => {
		expect(computeExpectedSlowdown({load: {...load, waiting: 0}, inFlight, isWarming})).toBeCloseTo(factor);
	});
});
