/** One service of a route's weighted traffic split. */
export type ServiceShare = {
	readonly service: string;
	/** Relative weight, above 0. */
	readonly weight: number;
};
