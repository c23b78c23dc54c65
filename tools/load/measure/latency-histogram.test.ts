import {describe, expect, it} from 'vitest';
import {LatencyHistogram} from './latency-histogram.js';

describe('LatencyHistogram', () => {
	const thousand = Array.from({length: 1000}, (_, index) => (index + 1) / 10);

	it.each([
		{values: thousand, percent: 50, expected: 50},
		{values: thousand, percent: 99, expected: 99},
		{values: thousand, percent: 99.9, expected: 99.9},
		{values: [0.0123], percent: 50, expected: 0.012},
		{values: [], percent: 99, expected: 0},
		{values: [-1], percent: 50, expected: 0},
	])('gives $expected ms at $percent %', ({values, percent, expected}) => {
		const histogram = new LatencyHistogram(values);
		expect(histogram.count).toBe(values.length);
		expect(Math.abs(histogram.getPercentile(percent) - expected)).toBeLessThanOrEqual(expected / 500);
	});
});
