import {computeHash} from './compute-hash.js';

/** Chooses the instances that store an idempotency key by rendezvous hashing; the first one decides on claims. */
export const chooseKeyOwners = (instanceIds: readonly string[], service: string, key: string, count: number): string[] => {
	const ranked = instanceIds.map(id => ({id, weight: computeHash(`${service}\n${key}\n${id}`)}));
	ranked.sort((first, second) => second.weight - first.weight || (first.id < second.id ? -1 : 1));
	return ranked.slice(0, count).map(item => item.id);
};
