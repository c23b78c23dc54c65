import {describe, expect, it} from 'vitest';
import {canTakePlace} from './can-take-place.js';

describe('canTakePlace', () => {
	it.each([
		['takes a place where it is in time', 100, 400, 3000, true],
		['waits for a better place while it can still be in time', 400, 300, 3000, false],
		['takes an ordinary place when it is late', 150, 50, 3000, true],
		['leaves a slow place alone when it is late', 400, 50, 3000, false],
		['takes a slow place when its time runs short', 400, 50, 590, true],
		['does not start what would be cut', 400, 50, 420, false],
	])('%s', (_name, estimateMs, objectiveAt, deadlineAt, isTaken) => {
		expect(canTakePlace({
			estimateMs, usualMs: 100, objectiveAt, deadlineAt,
		}, 0)).toBe(isTaken);
	});
});
