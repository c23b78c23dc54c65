import {chooseInstances} from './choose-instances.js';
import type {InstanceCandidate} from './instance-candidate.js';
import type {ServiceDemand} from './service-demand.js';

/** Load of an instance above which others are preferred, as a multiple of the mean. */
const balanceFactor = 1.25;

/**
Assigns every service its entry set by rendezvous hashing with bounded loads, so that no instance gets much more load
than the mean. The result depends only on the sets of services and candidates, not on their order.
*/
export const assignEntries = <T extends InstanceCandidate>(services: readonly ServiceDemand[], candidates: readonly T[]): Map<string, T[]> => {
	const assigned = new Map<string, T[]>();
	const loads = new Map(candidates.map(candidate => [candidate.id, 0]));
	const totalLoad = services.reduce((sum, service) => sum + service.load, 0);
	const balancedLoad = balanceFactor * totalLoad / Math.max(1, candidates.length);
	// Services with the largest load per entry go first, while the instances have most room.
	const sorted = [...services].sort((a, b) => (b.load / b.entryCount) - (a.load / a.entryCount) || (a.name < b.name ? -1 : 1));
	for (const service of sorted) {
		const loadPerEntry = service.load / Math.max(1, Math.min(service.entryCount, candidates.length));
		const maxLoad = Math.max(balancedLoad, findLeastLoad(loads) + loadPerEntry);
		const entries = chooseInstances(service.name, candidates, service.entryCount, candidate => (loads.get(candidate.id) ?? 0) + loadPerEntry > maxLoad);
		for (const entry of entries) {
			loads.set(entry.id, (loads.get(entry.id) ?? 0) + loadPerEntry);
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
