import {describe, expect, it} from 'vitest';
import {canTakeSlot} from './can-take-slot.js';

describe('canTakeSlot', () => {
	it.each([
		['takes a slot where it meets its objective', 100, 400, 3000, true],
		['waits for a better slot while it can still meet its objective', 400, 300, 3000, false],
		['takes a slot of ordinary speed when it is late', 150, 50, 3000, true],
		['avoids a slow slot when it is late', 400, 50, 3000, false],
		['takes a slow slot when its deadline is near', 400, 50, 590, true],
		['does not start when it would exceed its deadline', 400, 50, 420, false],
	])('%s', (_name, estimateMs, objectiveAt, deadlineAt, isTaken) => {
		expect(canTakeSlot({
			estimateMs, usualMs: 100, objectiveAt, deadlineAt,
		}, 0)).toBe(isTaken);
	});
});
