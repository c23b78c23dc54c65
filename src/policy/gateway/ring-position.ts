/** Where an instance stands on a ring: first by the piece of its failure domain, then by its own hash. */
export type RingPosition = {
	readonly segmentRank: number;
	readonly rank: number;
	readonly id: string;
};
