import {computeTextHash} from './compute-text-hash.js';

/** Computes the rank of an instance for a key by rendezvous hashing (Thaler and Ravishankar, 1998); the instance with the highest rank is selected. */
export const rankMember = (key: string, memberId: string): number => computeTextHash(`${key} ${memberId}`);
