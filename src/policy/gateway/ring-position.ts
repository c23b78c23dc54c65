/** Position of an instance on a ring, ordered by the hash of its segment of the failure domain, then by its own hash, then by its id. */
export type RingPosition = {
	readonly segmentRank: number;
	readonly rank: number;
	readonly id: string;
};
