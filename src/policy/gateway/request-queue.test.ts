import {describe, expect, it} from 'vitest';
import {RequestQueue} from './request-queue.js';

const createQueue = (items: ReadonlyArray<readonly [name: string, objectiveAt: number, priority: number]>) => {
	const queue = new RequestQueue<{name: string; objectiveAt: number; priority: number}>();
	for (const [name, objectiveAt, priority] of items) {
		queue.add({name, objectiveAt, priority});
	}

	return queue;
};

describe('RequestQueue', () => {
	it.each([
		['the earliest objective', [['a', 300, 1], ['b', 200, 1], ['c', 400, 1]], 100, 'bac'],
		['the highest priority', [['a', 200, 2], ['b', 300, 1]], 100, 'ba'],
		['those that can meet their objective', [['a', 90, 1], ['b', 300, 1], ['c', 50, 1]], 100, 'bca'],
		['equals in order', [['a', 200, 1], ['b', 200, 1]], 100, 'ab'],
	] as const)('takes %s first', (_name, items, earliestEnd, order) => {
		const queue = createQueue(items);
		let taken = '';
		while (queue.length > 0) {
			taken += queue.take(earliestEnd)?.name ?? '';
		}

		expect(taken).toBe(order);
	});

	it('takes a late one at a regular interval', () => {
		const queue = createQueue([['late', 50, 1], ...Array.from({length: 20}, (_item, index) => [`t${index}`, 200 + index, 1] as const)]);
		const taken = Array.from({length: 6}, () => queue.take(100)?.name);
		expect(taken).toContain('late');
		expect(taken.indexOf('late')).toBe(5);
	});
});
