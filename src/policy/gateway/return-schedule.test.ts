import {describe, expect, it} from 'vitest';
import {ReturnSchedule} from './return-schedule.js';

describe('ReturnSchedule', () => {
	it.each([
		['the expected wait', 600, 9000, [600, 700, 800]],
		['at least the time in which loads change', 10, 9000, [250, 350, 450]],
		['at most the time for which callers wait', 600, 900, [300, 300, 300]],
	])('spreads times of return from %s on, in the order of the refusals', (_name, waitMs, deadlineAt, expected) => {
		const schedule = new ReturnSchedule(() => 0);
		expect(expected.map(() => schedule.schedule({
			now: 0, waitMs, msPerSlot: 100, deadlineAt,
		}))).toEqual(expected);
	});

	it('spreads the returns to several instances at random', () => {
		expect(new ReturnSchedule(() => 0.5).schedule({
			now: 0, waitMs: 600, msPerSlot: 100, deadlineAt: 9000,
		})).toBe(625);
	});
});
