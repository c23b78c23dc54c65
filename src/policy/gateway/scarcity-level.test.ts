import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {maxScarcityLevel} from './max-scarcity-level.js';
import {ScarcityLevel} from './scarcity-level.js';

type Load = {
	/** Share of looks that find no slot; such looks are spread evenly. */
	readonly failedShare: number;
	readonly looksPerSecond: number;
};

const updateMs = 25;

/** Records looks for a time and returns the level after each update. */
const runLevel = (level: ScarcityLevel, {failedShare, looksPerSecond}: Load, startMs: number, durationMs: number): number[] => {
	const levels: number[] = [];
	let lookCount = 0;
	let failedCount = 0;
	for (let now = startMs; now < startMs + durationMs; now += updateMs) {
		if ((now - startMs) * looksPerSecond / 1000 >= lookCount) {
			lookCount++;
			const isFailed = failedCount < Math.round(lookCount * failedShare);
			failedCount += isFailed ? 1 : 0;
			level.noteLook(!isFailed, now);
		}

		levels.push(level.update(now));
	}

	return levels;
};

describe('ScarcityLevel', () => {
	it.each([2, 5, 14, 100])('rises to the highest level within 2.5 s at %i looks per second and falls to 0 within 10 s, not at once', looksPerSecond => {
		const level = new ScarcityLevel();
		expect(runLevel(level, {failedShare: 1, looksPerSecond}, 0, 2500).at(-1)).toBe(maxScarcityLevel);
		const falling = runLevel(level, {failedShare: 0, looksPerSecond}, 2500, 10_000);
		expect(falling[1000 / updateMs]).toBeGreaterThanOrEqual(maxScarcityLevel - 1);
		expect(falling.at(-1)).toBe(0);
	});

	it('is 0 after a time without looks', () => {
		const level = new ScarcityLevel();
		runLevel(level, {failedShare: 1, looksPerSecond: 10}, 0, 3000);
		expect(level.update(7000)).toBeGreaterThan(0);
		expect(level.update(8100)).toBe(0);
	});

	// Guards against a level that falls to 0 and rises again because late requests are refused without a look.
	it('is not 0 while requests are refused because of it', () => {
		const level = new ScarcityLevel();
		runLevel(level, {failedShare: 1, looksPerSecond: 10}, 0, 3000);
		level.noteRefusal(7000);
		expect(level.update(11_900)).toBe(maxScarcityLevel);
		expect(level.update(12_000)).toBe(0);
	});

	it.each([
		['no shortage', 0, 0],
		['the worst shortage, step by step', 1, (maxScarcityLevel - 1) * 1000],
	])('states when late requests find slots again after %s', (_name, failedShare, fallMs) => {
		const level = new ScarcityLevel();
		runLevel(level, {failedShare, looksPerSecond: 10}, 0, 5000);
		expect(level.computeFallMs()).toBe(fallMs);
	});

	it('settles under a constant load', () => {
		fc.assert(fc.property(fc.double({min: 0, max: 1, noNaN: true}), fc.double({min: 1, max: 50, noNaN: true}), (failedShare, looksPerSecond) => {
			const settled = runLevel(new ScarcityLevel(), {failedShare, looksPerSecond}, 0, 40_000).slice(10_000 / updateMs);
			const changeCount = settled.filter((value, index) => index > 0 && value !== settled[index - 1]).length;
			expect(Math.max(...settled) - Math.min(...settled)).toBeLessThanOrEqual(1);
			expect(changeCount).toBeLessThanOrEqual(1);
		}), {numRuns: 300, seed: 5});
	});
});
