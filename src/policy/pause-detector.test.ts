import {describe, expect, it} from 'vitest';
import {PauseDetector} from './pause-detector.js';

describe('PauseDetector', () => {
	it.each([
		{looks: [50, 100, 150], pauses: [undefined, undefined, undefined]},
		{looks: [499, 999, 1000], pauses: [undefined, 500, undefined]},
		{looks: [50, 60_050, 60_100], pauses: [undefined, 60_000, undefined]},
	])('detects pauses $pauses for readings at $looks', ({looks, pauses}) => {
		const detector = new PauseDetector(500, 0);
		expect(looks.map(now => detector.update(now))).toEqual(pauses);
	});
});
