import {
	describe, expect, it,
} from 'vitest';
import {PeakResponseTimes} from './peak-response-times.js';
import {computeInactivityTimeoutMs} from './compute-inactivity-timeout-ms.js';

describe('computeInactivityTimeoutMs', () => {
	it.each([
		{timeLeftMs: 2000, longestRecentMs: 0, expected: 500},
		{timeLeftMs: 30_000, longestRecentMs: 0, expected: 7500},
		{timeLeftMs: 2000, longestRecentMs: 450, expected: 900},
		{timeLeftMs: 2000, longestRecentMs: 5000, expected: 1000},
		{timeLeftMs: 100, longestRecentMs: 400, expected: 500},
	])('is $expected ms with $timeLeftMs ms left and recent response times of up to $longestRecentMs ms', ({timeLeftMs, longestRecentMs, expected}) => {
		expect(computeInactivityTimeoutMs(timeLeftMs, longestRecentMs)).toBe(expected);
	});
});

describe('PeakResponseTimes', () => {
	it.each([
		{answers: [], now: 0, expected: 0},
		{answers: [{timeMs: 400, at: 0}, {timeMs: 20, at: 10}], now: 10, expected: 400},
		{answers: [{timeMs: 400, at: 0}], now: 30_000, expected: 200},
		{answers: [{timeMs: 400, at: 0}, {timeMs: 300, at: 30_000}], now: 30_000, expected: 300},
	])('has a peak of $expected ms after $answers', ({answers, now, expected}) => {
		const times = new PeakResponseTimes();
		for (const {timeMs, at} of answers) {
			times.recordResponseTime('lacefront/lookup', timeMs, at);
		}

		expect(times.getPeakMs('lacefront/lookup', now)).toBeCloseTo(expected, 0);
	});
});
