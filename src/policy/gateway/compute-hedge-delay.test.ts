import {describe, expect, it} from 'vitest';
import {computeHedgeDelayMs} from './compute-hedge-delay.js';

const input = {
	quantileMs: 300, typicalMs: 100, objectiveMs: 500, objectiveLeftMs: 500,
};

describe('computeHedgeDelayMs', () => {
	it.each([
		['the quantile', {}, 300],
		['the typical duration when the quantile is shorter', {quantileMs: 60}, 100],
		['a shortest time when requests take a few ms', {quantileMs: 2, typicalMs: 1}, 20],
		['the last time at which the objective can be met', {quantileMs: 480}, 355],
		['the quantile when the objective cannot be met', {objectiveLeftMs: 200}, 300],
		['0.6 of the objective while too few durations are known', {quantileMs: undefined}, 300],
		['less than that when it would be too late', {quantileMs: undefined, objectiveLeftMs: 400}, 255],
		['0.6 of the objective when that cannot be met and too few durations are known', {quantileMs: undefined, objectiveLeftMs: 0}, 300],
	])('is %s', (_name, fields, delayMs) => {
		expect(computeHedgeDelayMs({...input, ...fields})).toBe(delayMs);
	});
});
