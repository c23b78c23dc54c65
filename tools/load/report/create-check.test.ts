import {describe, expect, it} from 'vitest';
import {createCheck} from './create-check.js';

describe('createCheck', () => {
	it.each([
		{
			bound: {atMost: 0.81, unit: 'ms'}, value: 0.81, target: '<= 0.81 ms', holds: true,
		},
		{
			bound: {atMost: 0.81, unit: 'ms'}, value: 0.82, target: '<= 0.81 ms', holds: false,
		},
		{
			bound: {atLeast: 0.95}, value: 0.94, target: '>= 0.95', holds: false,
		},
		{
			bound: {atLeast: 0.95}, value: Number.NaN, target: '>= 0.95', holds: false,
		},
		{
			bound: {atMost: 1}, value: Number.NaN, target: '<= 1', holds: false,
		},
	])('is $holds for $value and a bound of $target', ({bound, value, target, holds}) => {
		expect(createCheck('name', bound, value)).toEqual({
			name: 'name', target, value, holds,
		});
	});
});
