import {computeHash} from '../compute-hash.js';
import type {EntryCandidate} from './entry-candidate.js';

/**
Chooses instances by rendezvous hashing, spread evenly over failure domains: each pick takes the best-ranked candidate
among the domains that have been picked least.
@param key - What the instances are chosen for; equal keys and candidates give equal choices.
@param isFull - Candidates that are passed over while their domain has another.
*/
export const chooseEntries = <T extends EntryCandidate>(key: string, candidates: readonly T[], count: number, isFull: (candidate: T) => boolean = () => false): T[] => {
	const seed = computeHash(key);
	const ranked = candidates
		.map(candidate => ({candidate, rank: computeHash(candidate.id, seed), isFull: isFull(candidate)}))
		.sort((a, b) => Number(a.isFull) - Number(b.isFull) || b.rank - a.rank || (a.candidate.id < b.candidate.id ? -1 : 1));
	const queues = new Map<string, T[]>();
	for (const {candidate} of ranked) {
		const queue = queues.get(candidate.failureDomain);
		if (queue === undefined) {
			queues.set(candidate.failureDomain, [candidate]);
		} else {
			queue.push(candidate);
		}
	}

	// The map keeps the domains in the order of their best candidates, so each round visits every domain once.
	const chosen: T[] = [];
	for (let round = 0; chosen.length < Math.min(count, candidates.length); round++) {
		for (const queue of queues.values()) {
			const next = queue[round];
			if (next !== undefined && chosen.length < count) {
				chosen.push(next);
			}
		}
	}

	return chosen;
};
