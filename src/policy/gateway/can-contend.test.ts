import {describe, expect, it} from 'vitest';
import {canContend} from './can-contend.js';

const never = Number.NEGATIVE_INFINITY;

describe('canContend', () => {
	// Work takes 200 ms. A request of rank 0 can wait for 300 ms, so that one of rank 1 competes for 240 ms at the highest level.
	it.each([
		['a less urgent request without a shortage', 0, 1, 1040, never, 0, true],
		['the most urgent request in the worst shortage', 4, 0, 500, never, 0, true],
		['a less urgent request at its arrival in a shortage', 1, 1, 1040, never, 0, false],
		['a less urgent request in a slight shortage soon', 1, 1, 1040, never, 230, true],
		['a less urgent request in a middle shortage later', 2, 1, 1040, never, 380, false],
		['a less urgent request in the worst shortage later', 4, 1, 1040, never, 599, false],
		['a less urgent request before it is late', 4, 1, 1040, never, 600, true],
		['a request that cannot wait longer than an urgent one', 4, 1, 440, never, 0, true],
		['a request of a still lower rank later', 4, 2, 1040, never, 640, false],
		['a late request without a shortage', 0, 0, 100, 399, 400, true],
		['a late request in a slight shortage rarely', 1, 0, 100, 300, 400, false],
		['a late request in a slight shortage after a while', 1, 0, 100, 200, 400, true],
		['a late request in the worst shortage', 4, 0, 100, 0, 9000, false],
	])('decides whether to let %s compete', (...[, level, rank, objectiveAt, lookedAt, now, isContending]) => {
		expect(canContend({
			arrivedAt: 0, lookedAt, objectiveAt, rank,
		}, {level, urgentRoomMs: 300, usualMs: 200}, now)).toBe(isContending);
	});
});
