import {describe, expect, it} from 'vitest';
import {HeldBytes} from './held-bytes.js';

describe('HeldBytes', () => {
	it.each([
		['up to the limit', [60, 40], [true, true], 100],
		['not beyond it', [60, 41, 40], [true, false, true], 100],
		['nothing of a body that is larger than the limit', [101], [false], 0],
	])('takes bytes %s', (_name, sizes, taken, held) => {
		const heldBytes = new HeldBytes(100);
		expect(sizes.map(bytes => heldBytes.tryTake(bytes))).toEqual(taken);
		expect(heldBytes.held).toBe(held);
	});

	it('takes no more than a budget has left that others share', () => {
		const heldBytes = new HeldBytes(100, () => 50);
		expect([heldBytes.tryTake(51), heldBytes.tryTake(50)]).toEqual([false, true]);
	});

	it('takes bytes again that were released', () => {
		const heldBytes = new HeldBytes(100);
		heldBytes.tryTake(100);
		heldBytes.release(30);
		expect(heldBytes.tryTake(30)).toBe(true);
	});
});
