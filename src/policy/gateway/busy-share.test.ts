import {describe, expect, it} from 'vitest';
import {BusyShare} from './busy-share.js';

describe('BusyShare', () => {
	it.each([
		{
			name: 'is 0 without reports', busy: [], laterMs: 0, from: 0, to: 0,
		},
		{
			name: 'stays low after one busy target', busy: [true], laterMs: 0, from: 0.2, to: 0.3,
		},
		{
			name: 'rises while most targets are busy', busy: Array.from({length: 30}, () => true), laterMs: 0, from: 0.9, to: 1,
		},
		{
			name: 'falls while targets are idle', busy: Array.from({length: 60}, (_item, index) => index < 30), laterMs: 0, from: 0, to: 0.1,
		},
		{
			name: 'falls without reports', busy: Array.from({length: 30}, () => true), laterMs: 3000, from: 0, to: 0.1,
		},
	])('$name', ({busy, laterMs, from, to}) => {
		const share = new BusyShare();
		for (const [index, isBusy] of busy.entries()) {
			share.noteReport(isBusy, index * 100);
		}

		const value = share.getShare((busy.length * 100) + laterMs);
		expect(value).toBeGreaterThanOrEqual(from);
		expect(value).toBeLessThanOrEqual(to);
	});
});
