import {describe, expect, it} from 'vitest';
import {TargetPauses} from './target-pauses.js';

describe('TargetPauses', () => {
	it.each([
		['a pause that runs', [[1000, 0]], 999, 1],
		['a pause that has ended', [[1000, 0]], 1000, 0],
		['a shorter pause during a longer one', [[1000, 0], [100, 500]], 600, 400],
		['a longer pause during a shorter one', [[100, 0], [1000, 50]], 100, 950],
		['no pause', [], 0, 0],
	] as const)('computes the time left of %s', (_name, pauses, now, remainingMs) => {
		const targetPauses = new TargetPauses();
		for (const [durationMs, at] of pauses) {
			targetPauses.add('i-1 1', durationMs, at);
		}

		expect(targetPauses.getRemainingMs('i-1 1', now)).toBe(remainingMs);
		expect(targetPauses.getRemainingMs('i-1 2', now)).toBe(0);
	});

	it('evicts pauses that have ended and keeps the others', () => {
		const targetPauses = new TargetPauses();
		targetPauses.add('a', 100, 0);
		targetPauses.add('b', 200, 0);
		targetPauses.evictEnded(150);
		expect(targetPauses.size).toBe(1);
		expect(targetPauses.getRemainingMs('b', 150)).toBe(50);
	});
});
