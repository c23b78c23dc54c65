import type {CheckResult} from './check-result.js';

type Bound =
	| {readonly atMost: number; readonly unit?: string}
	| {readonly atLeast: number; readonly unit?: string};

/** Compares a measured value with its bound; the check never holds for NaN. */
export const createCheck = (name: string, bound: Bound, value: number): CheckResult => {
	const unit = bound.unit === undefined ? '' : ` ${bound.unit}`;
	return 'atMost' in bound
		? {
			name, target: `<= ${bound.atMost}${unit}`, value, holds: value <= bound.atMost,
		}
		: {
			name, target: `>= ${bound.atLeast}${unit}`, value, holds: value >= bound.atLeast,
		};
};
