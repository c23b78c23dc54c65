import {expect, it} from 'vitest';
import {computeFreeShare} from './compute-free-share.js';

const createReport = (running: number, waiting: number, slots: number, ageMs = 0) => ({
	load: {
		running, waiting, slots, slowdown: 1,
	}, ageMs,
});

it.each([
	['without a report', [undefined], undefined],
	['of an idle target', [createReport(0, 0, 2)], 1],
	['of targets that are partly in use', [createReport(1, 0, 2), createReport(2, 0, 2)], 0.25],
	['of a target that queues requests', [createReport(2, 4, 2), createReport(0, 0, 2)], 0.5],
	['without old reports', [createReport(0, 0, 2, 2001), createReport(2, 0, 2)], 0],
])('computeFreeShare computes the share %s', (_name, reports, expected) => {
	expect(computeFreeShare(reports)).toBe(expected);
});
