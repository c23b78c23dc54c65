import {describe, expect, it} from 'vitest';
import {StartLimit} from './start-limit.js';

describe('StartLimit', () => {
	it.each([
		{case: 'no turn', turns: [], starts: 16},
		{case: 'short turns', turns: [1, 39, 40], starts: 16},
		{case: 'a long turn', turns: [41], starts: 8},
		{case: 'long turns', turns: [100, 100], starts: 4},
		{case: 'many long turns', turns: [100, 100, 100, 100, 100, 100], starts: 2},
		{case: 'short turns after a long one', turns: [100, 5, 5, 5], starts: 11},
	])('allows $starts starts a turn after $case', ({turns, starts}) => {
		const limit = new StartLimit();
		for (const turnMs of turns) {
			limit.update(turnMs);
		}

		expect(limit.startsPerTurn).toBe(starts);
	});
});
