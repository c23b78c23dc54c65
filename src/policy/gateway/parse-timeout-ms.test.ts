import {describe, expect, it} from 'vitest';
import {parseTimeoutMs} from './parse-timeout-ms.js';

describe('parseTimeoutMs', () => {
	it.each([
		['1500', 1500],
		['0.5', 0.5],
		[' 20 ', 20],
		['0', 0],
		['', undefined],
		['-1', undefined],
		['1e3', undefined],
		['0x10', undefined],
		['Infinity', undefined],
		['soon', undefined],
		['1,2', undefined],
	])('parses "%s" as %s', (text, expected) => {
		expect(parseTimeoutMs(text)).toBe(expected);
	});
});
