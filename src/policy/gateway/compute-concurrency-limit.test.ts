import {describe, expect, it} from 'vitest';
import {computeConcurrencyLimit} from './compute-concurrency-limit.js';

describe('computeConcurrencyLimit', () => {
	it.each([
		[1, 1],
		[2, 2],
		[3, 2],
		[4, 3],
		[6, 4],
		[10, 8],
		[32, 25],
	])('of %i slots uses %i', (slots, limit) => {
		expect(computeConcurrencyLimit(slots)).toBe(limit);
	});
});
