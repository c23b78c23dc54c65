import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ByteCollector} from './byte-collector.js';

describe('ByteCollector', () => {
	it('collects the bytes of all pieces in order, and takes at most a block more memory', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 3000}), {maxLength: 30}), fc.nat(20_000), (pieces, expectedBytes) => {
			const collector = new ByteCollector(expectedBytes);
			for (const piece of pieces) {
				collector.add(piece);
			}

			const all = pieces.flatMap(piece => [...piece]);
			expect([...collector.mergeBlocks()]).toEqual(all);
			expect(collector.listBlocks().flatMap(block => [...block])).toEqual(all);
			expect(collector.length).toBe(all.length);
			expect(collector.computeCapacity(0)).toBeLessThanOrEqual(Math.max(expectedBytes, all.length + Math.min(65_536, Math.max(1024, all.length))));
		}), {seed: 37, numRuns: 200});
	});

	it.each([
		['reserves a smallest block first', 0, [], 10, 1024],
		['takes what fits into the expected length', 100, [60], 40, 100],
		['reserves as much as it has', 0, [3000], 1, 6000],
		['reserves no large blocks for a large body', 0, [1_000_000], 1, 1_065_536],
		['makes room for a large piece', 0, [1024], 5000, 6024],
		['reserves a block for more than was expected', 100, [100], 1, 1124],
	] as const)('%s', (...[, expectedBytes, lengths, next, capacity]) => {
		const collector = new ByteCollector(expectedBytes);
		for (const length of lengths) {
			collector.add(new Uint8Array(length));
		}

		expect(collector.computeCapacity(next)).toBe(capacity);
	});
});
