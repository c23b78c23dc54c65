import type {TargetLoad} from '../../common/gateway/target-load.js';
import {computeConcurrencyLimit} from './compute-concurrency-limit.js';

type LoadReport = {readonly load: TargetLoad; readonly ageMs: number};

/** Age up to which a report counts, in ms. An instance with little traffic has few newer ones. */
const maxAgeMs = 2000;

/** Computes the share of free slots, within the concurrency limits of the targets, in recent load reports; undefined when there is none. */
export const computeFreeShare = (reports: Iterable<LoadReport | undefined>): number | undefined => {
	let limit = 0;
	let free = 0;
	for (const report of reports) {
		if (report !== undefined && report.ageMs <= maxAgeMs) {
			const {running, waiting, slots} = report.load;
			const targetLimit = computeConcurrencyLimit(slots);
			limit += targetLimit;
			free += Math.max(0, targetLimit - running - waiting);
		}
	}

	return limit === 0 ? undefined : free / limit;
};
