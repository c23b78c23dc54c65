import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FleetShare} from './fleet-share.js';
import {RetryBudget} from './retry-budget.js';

const windowMs = 10_000;
const slack = 196;
const ratio = 0.2;

describe('FleetShare', () => {
	it.each([
		{
			name: 'an instance past its first window', startedAt: -windowMs, counts: [10], isJoined: true, divisor: 10, part: 0.8 * 196 / 4 / 10,
		},
		{
			name: 'a view that shrank within the window', startedAt: -windowMs, counts: [30, 3], isJoined: true, divisor: 30, part: 0.8 * 196 / 4 / 30,
		},
		{
			name: 'a view that grew', startedAt: -windowMs, counts: [3, 30], isJoined: true, divisor: 30, part: 0.8 * 196 / 4 / 30,
		},
		{
			name: 'an instance in its first window', startedAt: -1000, counts: [10], isJoined: true, divisor: 10, part: 0,
		},
		{
			name: 'an instance that has discovered no others', startedAt: -windowMs, counts: [1], isJoined: false, divisor: 1, part: 0,
		},
	])('divides a window limit for $name', ({startedAt, counts, isJoined, divisor, part}) => {
		let now = startedAt;
		let count = 0;
		const share = new FleetShare({
			clock: {now: () => now}, failureDomainCount: 4, windowMs, countLocal: () => count, isJoined: () => isJoined,
		});
		now = 0;
		for (const [index, value] of counts.entries()) {
			now = index * 1000;
			count = value;
			share.countInstances();
		}

		expect(share.countInstances()).toBe(divisor);
		expect(share.divideWindowLimit(slack)).toBeCloseTo(part);
	});

	it('forgets the larger view after the window', () => {
		let now = 0;
		let count = 30;
		const share = new FleetShare({
			clock: {now: () => now}, failureDomainCount: 1, windowMs, countLocal: () => count, isJoined: () => true,
		});
		share.countInstances();
		now = 1000;
		count = 3;
		share.countInstances();
		now = windowMs + 1;
		expect(share.countInstances()).toBe(3);
	});

	it('keeps the sum of all retries within the limit in each window, with kills, restarts and partitions', () => {
		const domainCount = 3;
		const instancesPerDomain = 8;
		const step = fc.record({
			gapMs: fc.integer({min: 0, max: 2000}),
			instance: fc.integer({min: 0, max: (domainCount * instancesPerDomain) - 1}),
			action: fc.constantFrom('request', 'request', 'repeat', 'repeat', 'repeat', 'restart', 'part', 'join'),
		});
		fc.assert(fc.property(fc.array(step, {minLength: 50, maxLength: 400}), steps => {
			let now = 0;
			const clock = {now: () => now};
			const known = Array.from({length: domainCount * instancesPerDomain}, () => instancesPerDomain);
			const create = (index: number): RetryBudget => {
				const share = new FleetShare({
					clock, failureDomainCount: domainCount, windowMs, countLocal: () => known[index] ?? 1, isJoined: () => (known[index] ?? 1) > 1,
				});
				return new RetryBudget({ratio: ratio * 0.8, getSlack: () => share.divideWindowLimit(slack), windowMs});
			};

			const budgets = known.map((_count, index) => create(index));
			now = windowMs;
			const requests: number[] = [];
			const retries: number[] = [];
			for (const {gapMs, instance, action} of steps) {
				now += gapMs;
				switch (action) {
					case 'request': {
						budgets[instance]?.addRequest(now);
						requests.push(now);
						break;
					}

					case 'repeat': {
						while (budgets[instance]?.tryTake(now)) {
							retries.push(now);
						}

						break;
					}

					case 'restart': {
						known[instance] = 1;
						budgets[instance] = create(instance);
						break;
					}

					case 'part': {
						known[instance] = 1;
						break;
					}

					case 'join': {
						known[instance] = instancesPerDomain;
						break;
					}
				}
			}

			for (const end of retries) {
				const inWindow = retries.filter(at => at <= end && at > end - windowMs).length;
				const counted = requests.filter(at => at <= end && at > end - (2 * windowMs)).length;
				expect(inWindow).toBeLessThanOrEqual((counted * ratio) + slack);
			}
		}), {seed: 16, numRuns: 300});
	});
});
