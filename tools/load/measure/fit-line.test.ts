import {expect, it} from 'vitest';
import {fitLine} from './fit-line.js';

it.each([
	{
		name: 'a line', points: [[1, 3], [2, 5], [3, 7]] as const, slope: 2, intercept: 1, residual: 0,
	},
	{
		name: 'one point', points: [[1, 3]] as const, slope: 0, intercept: 3, residual: 0,
	},
	{
		name: 'scattered points', points: [[0, 0], [0, 2]] as const, slope: 0, intercept: 1, residual: 1,
	},
])('fits $name', ({points, slope, intercept, residual}) => {
	expect(fitLine(points)).toEqual({slope, intercept, residual});
});
