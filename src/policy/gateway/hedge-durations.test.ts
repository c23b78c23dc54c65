import {describe, expect, it} from 'vitest';
import {HedgeDurations} from './hedge-durations.js';

describe('HedgeDurations', () => {
	it.each([
		['too few durations', 19, 0, undefined],
		['enough durations', 20, 0, 190],
		['durations of the interval before', 20, 30_000, 190],
		['durations that are too old', 20, 60_000, undefined],
	])('knows the quantile of %s', (_name, count, laterMs, expected) => {
		const durations = new HedgeDurations();
		for (let index = 1; index <= count; index++) {
			durations.record(index * 10, 0);
		}

		expect(durations.getQuantileMs(0.95, laterMs)).toBe(expected);
	});

	// Guards against a quantile that stays at the durations of a load that is over.
	it('forgets older durations while newer ones arrive', () => {
		const durations = new HedgeDurations();
		for (let now = 0; now < 120_000; now += 500) {
			durations.record(now < 40_000 ? 900 : 50, now);
		}

		expect(durations.getQuantileMs(0.95, 120_000)).toBe(50);
	});
});
