import {computeHash} from '../compute-hash.js';
import type {InstanceCandidate} from './instance-candidate.js';

/**
Chooses instances by rendezvous hashing, spread evenly over failure domains: each pick takes the highest-ranked
candidate among the domains with the fewest picks.
@param key - Hash key of the choice; equal keys and candidates give equal choices.
@param isFull - Whether a candidate is chosen only after the other candidates of its domain.
*/
export const chooseInstances = <T extends InstanceCandidate>(key: string, candidates: readonly T[], count: number, isFull: (candidate: T) => boolean = () => false): T[] => {
	const seed = computeHash(key);
	const ranked = candidates
		.map(candidate => ({candidate, rank: computeHash(candidate.id, seed), isFull: isFull(candidate)}))
		.sort((a, b) => Number(a.isFull) - Number(b.isFull) || b.rank - a.rank || (a.candidate.id < b.candidate.id ? -1 : 1));
	const rankedByDomain = new Map<string, T[]>();
	for (const {candidate} of ranked) {
		const domainCandidates = rankedByDomain.get(candidate.failureDomain);
		if (domainCandidates === undefined) {
			rankedByDomain.set(candidate.failureDomain, [candidate]);
		} else {
			domainCandidates.push(candidate);
		}
	}

	// The map keeps the domains in the order of their best candidates; each round visits every domain once.
	const chosen: T[] = [];
	for (let round = 0; chosen.length < Math.min(count, candidates.length); round++) {
		for (const domainCandidates of rankedByDomain.values()) {
			const next = domainCandidates[round];
			if (next !== undefined && chosen.length < count) {
				chosen.push(next);
			}
		}
	}

	return chosen;
};
