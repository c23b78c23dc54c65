import {describe, expect, it} from 'vitest';
import {canStayQueued} from './can-stay-queued.js';

describe('canStayQueued', () => {
	// Guards against late requests that wait up to their deadline although they would not look for a slot. Work takes 100 ms; it is 500 ms.
	it.each([
		['a late request in a middle shortage', 2, 599, true, false, true],
		['a late request in a severe shortage', 3, 599, true, false, false],
		['a late request in the worst shortage', 4, 599, true, false, false],
		['a late request of a class below its floor', 4, 599, true, true, true],
		['a request that can still meet its objective', 4, 600, true, false, true],
		['one that has to look first, since the expected duration may be wrong', 4, 500, false, false, true],
		['one whose objective has passed, without a look', 4, 499, false, false, false],
	])('decides whether to keep %s', (...[, level, objectiveAt, hasProbed, isStarved, isKept]) => {
		expect(canStayQueued({objectiveAt, hasProbed}, {level, isStarved, usualMs: 100}, 500)).toBe(isKept);
	});
});
