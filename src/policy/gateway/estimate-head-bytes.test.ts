import {expect, it} from 'vitest';
import {estimateHeadBytes} from './estimate-head-bytes.js';

// Guards against an estimate by size alone: 2,600 short fields of 16 KB in all take over 300 KB of the heap.
it.each([
	['no fields', [], 6000],
	['two fields', ['host', 'h', 'accept', '*/*'], 6314],
	['many short fields', Array.from({length: 5200}, () => 'a'), 401_200],
])('estimates the head of a request with %s', (_name, rawHeaders, expected) => {
	expect(estimateHeadBytes(rawHeaders)).toBe(expected);
});
