import {describe, expect, it} from 'vitest';
import {ServiceTimeAverages} from './service-time-averages.js';

describe('ServiceTimeAverages', () => {
	it.each([
		['the usual duration without the expected slowdown', [[400, 4], [100, 1], [170, 1.7]], 100],
		['the usual duration despite a long request', [[100, 1], [100, 1], [10_000, 1]], 200],
	] as const)('learns %s', (_name, responses, usualMs) => {
		const times = new ServiceTimeAverages();
		for (const [durationMs, expectedSlowdown] of responses) {
			times.record(durationMs, expectedSlowdown);
		}

		expect(times.usualMs).toBeGreaterThan(usualMs * 0.7);
		expect(times.usualMs).toBeLessThan(usualMs * 1.3);
	});
});
