import {computeTextHash} from './compute-text-hash.js';

/** Rank of an instance for a key by rendezvous hashing (Thaler and Ravishankar, 1998); the highest wins. */
export const rankMember = (key: string, memberId: string): number => computeTextHash(`${key} ${memberId}`);
