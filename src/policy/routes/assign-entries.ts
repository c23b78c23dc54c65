import {chooseEntries} from './choose-entries.js';
import type {EntryCandidate} from './entry-candidate.js';
import type {ServiceDemand} from './service-demand.js';

/** Load that one instance may get before others are preferred, as a multiple of the mean. */
const levelFactor = 1.25;

/**
Assigns every service its entry set so that no instance gets much more load than the mean (rendezvous hashing with
bounded load). The result depends on the set of services and candidates alone, not on their order.
*/
export const assignEntries = <T extends EntryCandidate>(services: readonly ServiceDemand[], candidates: readonly T[]): Map<string, T[]> => {
	const assigned = new Map<string, T[]>();
	const loads = new Map(candidates.map(candidate => [candidate.id, 0]));
	const total = services.reduce((sum, service) => sum + service.load, 0);
	const levelLoad = levelFactor * total / Math.max(1, candidates.length);
	// Large shares go first, while there is most room to place them.
	const sorted = [...services].sort((a, b) => (b.load / b.entryCount) - (a.load / a.entryCount) || (a.name < b.name ? -1 : 1));
	for (const service of sorted) {
		const share = service.load / Math.max(1, Math.min(service.entryCount, candidates.length));
		const limit = Math.max(levelLoad, findLeastLoad(loads) + share);
		const entries = chooseEntries(service.name, candidates, service.entryCount, candidate => (loads.get(candidate.id) ?? 0) + share > limit);
		for (const entry of entries) {
			loads.set(entry.id, (loads.get(entry.id) ?? 0) + share);
		}

		assigned.set(service.name, entries);
	}

	return assigned;
};

const findLeastLoad = (loads: ReadonlyMap<string, number>): number => {
	let least = Number.POSITIVE_INFINITY;
	for (const load of loads.values()) {
		least = Math.min(least, load);
	}

	return Number.isFinite(least) ? least : 0;
};
