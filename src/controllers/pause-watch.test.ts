import {setImmediate as waitForIteration} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {silentLogger} from '../../test/support/silent-logger.js';
import {PauseWatch} from './pause-watch.js';

describe('PauseWatch', () => {
	let now = 0;
	let watch = new PauseWatch({clock: {now: () => now}, logger: silentLogger});

	beforeEach(() => {
		now = 0;
		watch = new PauseWatch({clock: {now: () => now}, logger: silentLogger});
	});
	afterEach(() => {
		watch.dispose();
	});

	it.each([
		{
			case: 'no gap', gaps: [100], arrival: 100, pauses: [],
		},
		{
			case: 'a gap below the threshold', gaps: [499], arrival: 499, pauses: [],
		},
		{
			case: 'a pause', gaps: [100, 1200], arrival: 100, pauses: [1200],
		},
		{
			case: 'a second pause before the backlog of the first was read', gaps: [100, 1200, 600], arrival: 100, pauses: [1200, 600],
		},
	])('estimates that a request arrived at $arrival after $case', ({gaps, arrival, pauses}) => {
		const seen: number[] = [];
		watch.onResumed(pausedMs => {
			seen.push(pausedMs);
		});
		for (const gap of gaps) {
			now += gap;
			watch.checkPause();
		}

		expect(watch.estimateArrival()).toBe(arrival);
		expect(seen).toEqual(pauses);
	});

	it('estimates the current time as arrival again once the backlog of a pause has been read', async () => {
		now = 1200;
		expect(watch.estimateArrival()).toBe(0);
		now = 1210;
		await waitForIteration();
		expect(watch.estimateArrival()).toBe(0);
		await waitForIteration();
		await waitForIteration();
		expect(watch.estimateArrival()).toBe(1210);
	});

	it('allows the backlog of a second pause two event loop iterations of its own', async () => {
		now = 1200;
		watch.checkPause();
		now = 1800;
		watch.checkPause();
		await waitForIteration();
		expect(watch.estimateArrival()).toBe(0);
	});
});
