import {expect, it} from 'vitest';
import {computeResponseLimit} from './compute-response-limit.js';

// Guards against responses that are given up because clients hold all memory with bodies, and against responses that take all of it.
it.each([
	['an eighth of the memory while much is left', 200, 150, 25],
	['what is left', 320, 20, 20],
	['a minimum when nothing is left', 320, -100, 10],
])('gives responses %s', (_name, memoryBytes, availableBytes, expected) => {
	expect(computeResponseLimit(memoryBytes, availableBytes)).toBe(expected);
});
