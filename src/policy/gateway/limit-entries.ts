import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {rankMember} from './rank-member.js';

/**
Processor time that callers' requests take for each slot of the targets, in cores: a request takes 5 ms, probes included, and a slot serves
up to ten short requests a second.
*/
const coresPerSlot = 0.05;
/** Fewest entries of a group of host names, where it has as many: callers that have an address of each find one while most of them fail. */
const minEntries = 8;

/**
Selects the entries that the load of a group needs, those with most processor time first. Callers that are spread over many instances with
little traffic each cause a new connection for almost every request, and instances that know the targets' load from few responses.
@param slots - Slots of the group's targets for the callers of one failure domain.
*/
export const limitEntries = (group: string, entries: readonly GatewayMember[], slots: number): GatewayMember[] => {
	const sorted = entries
		.map(entry => ({entry, rank: rankMember(group, entry.id)}))
		.sort((a, b) => b.entry.cores - a.entry.cores || b.rank - a.rank);
	const neededCores = slots * coresPerSlot;
	let cores = 0;
	return sorted.filter(({entry}, index) => {
		const isNeeded = index < minEntries || cores < neededCores;
		cores += entry.cores;
		return isNeeded;
	}).map(({entry}) => entry);
};
