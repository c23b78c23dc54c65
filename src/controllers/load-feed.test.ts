import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {LoadFeedMessage} from '../common/load-feed-message.js';
import {ByteRateLimiter} from '../policy/schedule/byte-rate-limiter.js';
import {LoadFeed} from './load-feed.js';

const service = 's';
const intervalMs = 10;

/** Returns the next message if it is available now. */
const takeIfReady = async (next: Promise<IteratorResult<LoadFeedMessage, void>>): Promise<LoadFeedMessage | undefined> => {
	const result = await Promise.race([next, Promise.resolve(undefined)]);
	return result?.value ?? undefined;
};

describe('LoadFeed', () => {
	const counts = new Map<string, number>();
	const getState = (_service: string, targetId: string) => {
		const inFlight = counts.get(targetId);
		return inFlight === undefined
			? undefined
			: {
				isFull: inFlight >= 2,
				share: {
					service, targetId, inFlight, longInFlight: 0, shortMs: 0, isDraining: false,
				},
			};
	};

	const createFeed = () => new LoadFeed({
		clock: {now: () => Date.now()},
		intervalMs,
		budget: new ByteRateLimiter(1_000_000),
		listStates: () => [...counts.keys()].flatMap(id => getState(service, id) ?? []),
		getState,
	});

	beforeEach(() => {
		vi.useFakeTimers();
		counts.clear();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	/** Starts a feed, changes the count of a target after the first snapshot, and returns the next message. */
	const readAfterChange = async (initialIds: readonly string[], changed: string, inFlight: number) => {
		for (const id of initialIds) {
			counts.set(id, 0);
		}

		const feed = createFeed();
		const messages = feed.streamMessages(undefined);
		await messages.next();
		counts.set(changed, inFlight);
		const next = messages.next();
		feed.markChanged(service, changed);
		await vi.advanceTimersByTimeAsync(intervalMs + 1);
		return takeIfReady(next);
	};

	it('sends a change that fills a known target within the interval', async () => {
		expect(await readAfterChange(['t-1', 't-2'], 't-2', 2)).toEqual({kind: 'changes', changes: [[1, 2, 0, 0, 0]]});
	});

	it('sends the count of a target that was added after the first snapshot within the interval', async () => {
		const message = await readAfterChange(['t-1'], 't-2', 1);
		expect(message).toMatchObject({kind: 'whole', targets: [{targetId: 't-1', inFlight: 0}, {targetId: 't-2', inFlight: 1}]});
	});

	it('sends nothing about a target that is not part of the subscription', async () => {
		counts.set('t-1', 0);
		const feed = createFeed();
		const messages = feed.streamMessages(undefined);
		await messages.next();
		const next = messages.next();
		feed.markChanged(service, 't-9');
		await vi.advanceTimersByTimeAsync(intervalMs + 1);
		expect(await takeIfReady(next)).toBeUndefined();
	});
});
