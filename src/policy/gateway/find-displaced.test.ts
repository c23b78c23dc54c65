import {describe, expect, it} from 'vitest';
import {findDisplaced} from './find-displaced.js';

type Row = readonly [name: string, priority: number, objectiveAt: number, deadlineAt?: number];

describe('findDisplaced', () => {
	// Objectives of 400 and 1,000 ms, work of 100 ms, a free slot each 150 ms; the request "new" has priority 0.
	it.each<readonly [string, readonly Row[], ReadonlyArray<readonly [string, number]>, number]>([
		['keeps one that looks for a slot at the same time', [['new', 0, 400], ['a', 1, 240], ['b', 1, 240]], [['b', 150]], 2],
		['keeps those that still meet their objective', [['new', 0, 400], ['a', 1, 1000]], [], 1],
		['gives up a less urgent one that would miss its objective', [['new', 0, 400], ['a', 1, 240]], [['a', 150]], 1],
		['keeps those of its own priority', [['new', 0, 400], ['a', 0, 240]], [], 1],
		['counts only those that stay', [['new', 0, 400], ['a', 1, 240], ['b', 1, 260]], [['a', 150]], 1],
		['keeps a late one that meets its deadline', [['new', 0, 400], ['late', 1, 50, 900]], [], 1],
		['gives up a late one that would miss its deadline', [['new', 0, 400], ['late', 1, 50, 240]], [['late', 150]], 1],
		['puts late ones behind all timely ones', [['new', 0, 400], ['late', 1, 50, 260], ['c', 2, 1000]], [['late', 300]], 1],
	])('%s', (...[, rows, expected, lookingCount]) => {
		const items = rows.map(([name, priority, objectiveAt, deadlineAt = 3000]) => ({
			name, priority, objectiveAt, deadlineAt,
		}));
		const displaced = findDisplaced(items, {
			priority: 0, now: 0, usualMs: 100, msPerSlot: 150, lookingCount,
		});
		expect(displaced.map(({item, waitMs}) => [item.name, waitMs])).toEqual(expected);
	});
});
