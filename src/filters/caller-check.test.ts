import {describe, expect, it} from 'vitest';
import {CallerCheck} from './caller-check.js';

describe('CallerCheck', () => {
	it.each([
		{
			case: 'callers were read after the request and recently', readAt: 100, readUntil: 110, turnMs: 0, waits: 0, isKnown: true,
		},
		{
			case: 'nothing was read after the request', readAt: 130, readUntil: 110, turnMs: 5, waits: 1, isKnown: true,
		},
		{
			case: 'callers were read long ago', readAt: 0, readUntil: 60, turnMs: 5, waits: 1, isKnown: true,
		},
		{
			case: 'the next turn takes as long as is allowed', readAt: 130, readUntil: 110, turnMs: 250, waits: 1, isKnown: true,
		},
		{
			case: 'the next turn takes longer', readAt: 130, readUntil: 110, turnMs: 251, waits: 1, isKnown: false,
		},
	])('confirms a caller only by a read since its request: $case', async ({
		readAt, readUntil, turnMs, waits, isKnown,
	}) => {
		let now = 130;
		let waited = 0;
		const readTracker = {
			readUntil,
			async waitUntilRead() {
				waited++;
				readTracker.readUntil = now;
				now += turnMs;
			},
		};
		const check = new CallerCheck({readTracker, clock: {now: () => now}});
		expect(await check.confirm({readAt})).toBe(isKnown);
		expect(waited).toBe(waits);
	});
});
