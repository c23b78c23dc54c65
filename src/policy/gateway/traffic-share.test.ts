import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {computeTrafficFactor} from './compute-traffic-factor.js';
import {TrafficShare} from './traffic-share.js';

const windowMs = 10_000;

// Guards against limits of which most is unused while the few instances to which callers are sent refuse retries and health checks.
describe('computeTrafficFactor', () => {
	it.each([
		{entryCount: 10, instanceCount: 42},
		{entryCount: 1, instanceCount: 2},
		{entryCount: 8, instanceCount: 8},
		{entryCount: 0, instanceCount: 5},
	])('gives all instances one on average with $entryCount entries of $instanceCount', ({entryCount, instanceCount}) => {
		const entry = computeTrafficFactor({isEntry: true, entryCount, instanceCount});
		const other = computeTrafficFactor({isEntry: false, entryCount, instanceCount});
		expect(((entry * entryCount) + (other * (instanceCount - entryCount))) / instanceCount).toBeCloseTo(1);
		expect(entry).toBeGreaterThanOrEqual(other);
	});
});

describe('TrafficShare', () => {
	// Guards against a fleet that exceeds a limit since instances take over the shares of others that have used them.
	it('keeps the sum of the window within the limit while entries change', () => {
		const instanceCount = 12;
		const changes = fc.array(fc.record({gapMs: fc.integer({min: 1, max: 6000}), entries: fc.uniqueArray(fc.nat(instanceCount - 1), {minLength: 1})}), {minLength: 2, maxLength: 20});
		fc.assert(fc.property(changes, steps => {
			let entries: readonly number[] = [];
			const shares = Array.from({length: instanceCount}, (_item, index) => new TrafficShare({
				computeFactor: () => computeTrafficFactor({isEntry: entries.includes(index), entryCount: entries.length, instanceCount}), windowMs,
			}));
			const uses = shares.map(() => [] as Array<{at: number; amount: number}>);
			let now = 0;
			for (const step of steps) {
				now += step.gapMs;
				entries = step.entries;
				const windowStart = now - windowMs;
				let sum = 0;
				for (const [index, share] of shares.entries()) {
					const recent = (uses[index] ?? []).filter(({at}) => at > windowStart);
					const used = recent.reduce((total, {amount}) => total + amount, 0);
					const left = Math.max(0, share.getWindowFactor(now) - used);
					uses[index] = [...recent, {at: now, amount: left}];
					sum += used + left;
				}

				expect(sum).toBeLessThanOrEqual(instanceCount + 1e-9);
			}
		}), {seed: 43, numRuns: 300});
	});

	// Guards against a share that rises at once because nobody asked for it for a whole window.
	it('rises only a window after the first time at which it is known to have grown', () => {
		let factor = 0.25;
		const share = new TrafficShare({computeFactor: () => factor, windowMs});
		expect(share.getWindowFactor(0)).toBe(0.25);
		factor = 3;
		expect(share.getWindowFactor(3 * windowMs)).toBe(0.25);
		expect(share.getWindowFactor((4 * windowMs) + 1)).toBeCloseTo(3);
	});

	it('rises only after the window and falls at once', () => {
		let factor = 0.25;
		const share = new TrafficShare({computeFactor: () => factor, windowMs});
		expect(share.getWindowFactor(0)).toBe(0.25);
		factor = 3;
		expect([share.getWindowFactor(1000), share.factor]).toEqual([0.25, 3]);
		expect(share.getWindowFactor(windowMs + 1001)).toBeCloseTo(3);
		factor = 0.5;
		expect(share.getWindowFactor(windowMs + 1002)).toBe(0.5);
	});
});
