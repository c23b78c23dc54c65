/** One part of a weighted split of a route's requests. */
export type ServiceShare = {
	readonly service: string;
	/** Relative weight, above 0. */
	readonly weight: number;
};
