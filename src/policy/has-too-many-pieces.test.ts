import {describe, expect, it} from 'vitest';
import {hasTooManyPieces} from './has-too-many-pieces.js';

describe('hasTooManyPieces', () => {
	it.each([
		['a body in one piece', 1, 1_000_000, false],
		['few small pieces', 16_384, 16_384, false],
		['many small pieces', 17_000, 17_000, true],
		['many pieces of 64 bytes', 1_000_000, 64_000_000, false],
		['many pieces of 32 bytes', 40_000, 1_280_000, true],
		['1 MiB in pieces of 32 bytes', 32_768, 1_048_576, false],
	])('judges %s', (_name, pieceCount, byteCount, expected) => {
		expect(hasTooManyPieces(pieceCount, byteCount)).toBe(expected);
	});
});
