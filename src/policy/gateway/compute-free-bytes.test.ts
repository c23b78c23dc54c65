import {expect, it} from 'vitest';
import {computeFreeBytes} from './compute-free-bytes.js';

const megabyte = 1_000_000;

// Guards against large bodies that leave no memory for others, and against a single largest body that is refused.
it.each([
	['all that is unused to a small request', 0, 200_000, false, 76],
	['as much to a small request while much memory is resident', 0, 200_000, true, 76],
	['half of the budget less to a body', 0, megabyte, false, 38],
	['almost all to a body of over half the budget', 0, 64 * megabyte, false, 72.2],
	['little to a new body while much memory is resident', 0, megabyte, true, 19],
	['its share to a body that has arrived in part while much memory is resident', 2 * megabyte, megabyte, true, 38],
])('leaves %s', (...[, heldBytes, askedBytes, isResidentHigh, expected]) => {
	expect(computeFreeBytes({
		budgetBytes: 76 * megabyte, unusedBytes: 76 * megabyte, isResidentHigh, heldBytes, askedBytes,
	})).toBeCloseTo(expected * megabyte, 0);
});
