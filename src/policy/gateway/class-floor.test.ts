import {describe, expect, it} from 'vitest';
import {ClassFloor} from './class-floor.js';

describe('ClassFloor', () => {
	it.each([
		['has got nothing', 4, 0, true],
		['has got nothing of few', 3, 0, false],
		['has got a quarter', 4, 1, false],
		['has got all for long and then nothing for 20 requests', 1000, 1000, true],
	])('knows a class that %s', (_name, arrivals, grants, isStarved) => {
		const floor = new ClassFloor();
		for (let index = 0; index < arrivals; index++) {
			floor.noteArrival(2);
			if (index < grants) {
				floor.noteGrant(2);
			}
		}

		for (let index = 0; index < (arrivals === 1000 ? 20 : 0); index++) {
			floor.noteArrival(2);
		}

		expect([floor.isStarved(2), floor.isStarved(1)]).toEqual([isStarved, false]);
	});
});
