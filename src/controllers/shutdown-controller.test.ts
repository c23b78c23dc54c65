import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {silentLogger} from '../../test/support/silent-logger.js';
import {ShutdownController} from './shutdown-controller.js';

const limitMs = 3000;

describe('ShutdownController', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it.each([
		{
			case: 'nothing is in flight', inFlight: 0, servingMs: 1000, cutCount: 0,
		},
		{
			case: 'a request does not end', inFlight: 1, servingMs: 1000, cutCount: 1,
		},
		{
			case: 'the serving time is longer than the limit', inFlight: 2, servingMs: 9000, cutCount: 2,
		},
	])('ends within its limit, including the flush of the last responses, when $case', async ({inFlight, servingMs, cutCount}) => {
		const shutdown = new ShutdownController({
			announceLeaving() {
				// There are no peers.
			},
			closeIdle() {
				// There are no connections.
			},
			servingMs, limitMs, logger: silentLogger, clock: {now: () => Date.now()},
		});
		for (let index = 0; index < inFlight; index++) {
			shutdown.addExchange({closeAfterResponse: () => undefined, abort: () => undefined});
		}

		const startedAt = Date.now();
		shutdown.handleSignal();
		expect(shutdown.isAcceptingRequests).toBe(true);
		expect(shutdown.abortAt).toBeLessThan(startedAt + limitMs);
		let endedMs: number | undefined;
		const recordEnd = async () => {
			await shutdown.waitUntilEnded();
			endedMs = Date.now() - startedAt;
		};

		void recordEnd();
		await vi.advanceTimersByTimeAsync(limitMs);
		expect(endedMs).toBeLessThanOrEqual(limitMs);
		expect(shutdown.isAcceptingRequests).toBe(false);
		expect(await shutdown.waitUntilEnded()).toBe(cutCount);
	});
});
