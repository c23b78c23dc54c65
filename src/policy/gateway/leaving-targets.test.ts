import {describe, expect, it} from 'vitest';
import {LeavingTargets} from './leaving-targets.js';

describe('LeavingTargets', () => {
	it.each([
		['the same incarnation', {id: 'i-1', startedAt: 5}, true],
		['a later incarnation', {id: 'i-1', startedAt: 6}, false],
		['another target', {id: 'i-2', startedAt: 5}, false],
	])('after a target has announced that it is leaving, says for %s', (_name, target, isLeaving) => {
		const leaving = new LeavingTargets();
		leaving.add({id: 'i-1', startedAt: 5});
		expect(leaving.has(target)).toBe(isLeaving);
	});

	it('reports only the first announcement as new', () => {
		const leaving = new LeavingTargets();
		expect(leaving.add({id: 'i-1', startedAt: 5})).toBe(true);
		expect(leaving.add({id: 'i-1', startedAt: 5})).toBe(false);
	});

	it('holds a bounded number of announcements, the latest ones', () => {
		const leaving = new LeavingTargets();
		for (let index = 0; index <= 5000; index++) {
			leaving.add({id: `i-${index}`, startedAt: 1});
		}

		expect(leaving.has({id: 'i-0', startedAt: 1})).toBe(false);
		expect(leaving.has({id: 'i-5000', startedAt: 1})).toBe(true);
	});
});
