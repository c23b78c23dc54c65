import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ProbeRateLimiter} from './probe-rate-limiter.js';
import {ExtraAttemptBudget} from './extra-attempt-budget.js';

describe('ProbeRateLimiter', () => {
	it('never exceeds the agreed rate in any second, restarts included', () => {
		const events = fc.array(fc.tuple(fc.nat(19), fc.constantFrom('probe', 'probe', 'probe', 'restart'), fc.integer({min: 0, max: 40})), {minLength: 1, maxLength: 600});
		fc.assert(fc.property(fc.integer({min: 1, max: 20}), fc.integer({min: 1, max: 60}), events, (maxInstances, perSecond, steps) => {
			const rateLimiters = Array.from({length: maxInstances}, () => new ProbeRateLimiter());
			const sentAt: number[] = [];
			let now = 0;
			for (const [instance, action, stepMs] of steps) {
				now += stepMs;
				const index = instance % maxInstances;
				if (action === 'restart') {
					rateLimiters[index] = new ProbeRateLimiter();
				} else if (rateLimiters[index]?.tryTake(now, perSecond, maxInstances)) {
					sentAt.push(now);
				}
			}

			for (const start of sentAt) {
				expect(sentAt.filter(at => at >= start && at < start + 1000).length).toBeLessThanOrEqual(perSecond);
			}
		}), {seed: 43, numRuns: 200});
	});

	it.each([
		{perSecond: 2, maxInstances: 20, taken: 0},
		{perSecond: 20, maxInstances: 20, taken: 9},
		{perSecond: 40, maxInstances: 20, taken: 18},
	])('allows $taken probes in 10 s when $maxInstances instances share $perSecond probes per second', ({perSecond, maxInstances, taken}) => {
		const rateLimiter = new ProbeRateLimiter();
		let count = 0;
		for (let now = 0; now < 10_000; now += 10) {
			count += rateLimiter.tryTake(now, perSecond, maxInstances) ? 1 : 0;
		}

		expect(count).toBe(taken);
	});
});

describe('ExtraAttemptBudget', () => {
	it('never allows more than its share of first attempts', () => {
		fc.assert(fc.property(fc.float({min: 0, max: 1, noNaN: true}), fc.array(fc.boolean(), {maxLength: 1000}), (ratio, actions) => {
			const budget = new ExtraAttemptBudget();
			let firstAttempts = 0;
			let extra = 0;
			for (const isFirst of actions) {
				if (isFirst) {
					budget.recordFirstAttempt(ratio);
					firstAttempts++;
				} else {
					extra += budget.tryTake() ? 1 : 0;
				}

				expect(extra).toBeLessThanOrEqual((firstAttempts * ratio) + 1e-6);
			}
		}), {seed: 44, numRuns: 200});
	});
});
