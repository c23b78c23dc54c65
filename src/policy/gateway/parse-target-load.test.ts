import {describe, expect, it} from 'vitest';
import {parseTargetLoad} from './parse-target-load.js';

describe('parseTargetLoad', () => {
	it.each([
		['3,1,8', {
			running: 3, waiting: 1, slots: 8, slowdown: 1,
		}],
		['3,1,8,250', {
			running: 3, waiting: 1, slots: 8, slowdown: 2.5,
		}],
		[' 0, 0, 2, 100 ', {
			running: 0, waiting: 0, slots: 2, slowdown: 1,
		}],
		['0,0,0,100', undefined],
		['0,0,2,0', undefined],
		['-1,0,2', undefined],
		['1,,2', undefined],
		['1,2', undefined],
		['busy', undefined],
		['', undefined],
		[undefined, undefined],
	])('parses %j', (text, expected) => {
		expect(parseTargetLoad(text)).toEqual(expected);
	});
});
