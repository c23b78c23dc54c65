import {setImmediate as waitForIteration} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {SocketReadTracker} from './socket-read-tracker.js';

describe('TurnWatch', () => {
	it.each([
		{
			case: 'no call waited', waits: 0, iterations: 3, readUntil: Number.NEGATIVE_INFINITY,
		},
		{
			case: 'the iteration in which a call began to wait has passed', waits: 1, iterations: 1, readUntil: Number.NEGATIVE_INFINITY,
		},
		{
			case: 'the iteration after it has passed', waits: 1, iterations: 2, readUntil: 1,
		},
		{
			case: 'the same has passed for several calls', waits: 3, iterations: 2, readUntil: 1,
		},
	])('has read up to $readUntil when $case', async ({waits, iterations, readUntil}) => {
		let iteration = 0;
		const watch = new SocketReadTracker({now: () => iteration});
		const waiting = Array.from({length: waits}, async () => watch.waitUntilRead());
		for (let index = 0; index < iterations; index++) {
			iteration++;
			await waitForIteration();
		}

		expect(watch.readUntil).toBe(readUntil);
		await Promise.all(waiting);
	});

	it('does not count the reads of an event loop iteration that had begun when a call began to wait', async () => {
		let iteration = 0;
		const watch = new SocketReadTracker({now: () => iteration});
		const first = watch.waitUntilRead();
		iteration = 1;
		await waitForIteration();
		iteration = 2;
		await Promise.all([first, (async () => {
			await watch.waitUntilRead();
			expect(watch.readUntil).toBeGreaterThanOrEqual(2);
		})()]);
	});
});
