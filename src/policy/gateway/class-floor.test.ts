import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ClassFloor} from './class-floor.js';
import {RequestQueue} from './request-queue.js';

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

	it('gives each class its share of the slots although more urgent requests always wait', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 2}), {minLength: 10, maxLength: 400}), arrivals => {
			const floor = new ClassFloor();
			const queue = new RequestQueue<{priority: number; objectiveAt: number}>();
			const grants = [0, 0, 0];
			for (const [index, priority] of arrivals.entries()) {
				floor.noteArrival(priority);
				queue.add({priority, objectiveAt: index});
				// Half as many slots as requests.
				const starved = [1, 2].find(rank => floor.isStarved(rank));
				const taken = index % 2 === 0 ? queue.takeByPriority(0, starved) : undefined;
				if (taken !== undefined) {
					floor.noteGrant(taken.priority);
					grants[taken.priority]!++;
				}
			}

			for (const priority of [1, 2]) {
				expect(grants[priority]).toBeGreaterThanOrEqual((arrivals.filter(other => other === priority).length / 4) - 2);
			}
		}), {numRuns: 300, seed: 3});
	});
});
