import {describe, expect, it} from 'vitest';
import {computePeakRate} from './compute-peak-rate.js';

describe('computePeakRate', () => {
	it.each([
		{times: [], expected: 0},
		{times: [5], expected: 1},
		{times: [0, 1000, 2000], expected: 1},
		{times: [0, 999, 1500], expected: 2},
		{times: [900, 950, 1050, 1100, 2500], expected: 4},
	])('finds $expected in $times', ({times, expected}) => {
		expect(computePeakRate(times)).toBe(expected);
	});
});
