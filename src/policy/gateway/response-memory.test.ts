import {
	describe, expect, it, vi,
} from 'vitest';
import {ResponseMemory} from './response-memory.js';

const limitBytes = 100;

describe('ResponseMemory', () => {
	const createMemory = (now = 0) => {
		const evictedBytes: number[] = [];
		const memory = new ResponseMemory({
			getLimitBytes: () => limitBytes,
			clock: {now: () => now},
			onEvicted(bytes) {
				evictedBytes.push(bytes);
			},
		});
		return {memory, evictedBytes};
	};

	it.each([
		['gives up the largest response for a smaller one', [[60, 0], [30, 0]], 20, true, [60]],
		['gives up as many responses as are needed', [[45, 0], [50, 0]], 40, true, [50]],
		['gives up no response for a larger one', [[60, 0], [30, 0]], 70, false, []],
		['gives up no response for one of its size', [[50, 0], [50, 0]], 50, false, []],
		['gives up no response that is being sent', [[60, 10], [30, 0]], 25, true, [30]],
		['refuses when all responses are being sent', [[60, 10], [30, 10]], 20, false, []],
		['refuses more than the limit', [], 101, false, []],
		['gives up nothing while the memory suffices', [[60, 0], [30, 0]], 10, true, []],
	] as const)('%s', (...[, holders, bytes, isHeld, expectedEvictions]) => {
		const {memory, evictedBytes} = createMemory();
		const handleEviction = vi.fn();
		for (const [heldBytes, evictableAt] of holders) {
			const hold = memory.createHold();
			hold.resize(heldBytes);
			hold.setEviction(evictableAt, handleEviction);
		}

		expect(memory.createHold().resize(bytes)).toBe(isHeld);
		expect(evictedBytes).toEqual(expectedEvictions);
		expect(handleEviction).toHaveBeenCalledTimes(expectedEvictions.length);
		expect(memory.heldBytes).toBeLessThanOrEqual(limitBytes);
	});

	it('counts what a response holds once, and nothing after its release or after it was given up', () => {
		const {memory} = createMemory();
		const first = memory.createHold();
		first.setEviction(0, () => undefined);
		expect([first.resize(40), first.resize(80), memory.heldBytes]).toEqual([true, true, 80]);
		const second = memory.createHold();
		expect([second.resize(30), memory.heldBytes, first.bytes]).toEqual([true, 30, 0]);
		expect(first.resize(10)).toBe(false);
		first.release();
		second.release();
		second.release();
		expect([second.resize(10), memory.heldBytes]).toEqual([false, 0]);
	});
});
