/** A scheduled request of a load. */
export type Arrival = {
	/** Scheduled send time, in ms from the start of the load. */
	readonly atMs: number;
	/** Index into the request kinds of the load. */
	readonly kind: number;
	/** Service time at a target that is not slowed down, in ms. */
	readonly serviceMs: number;
	/** Index of the caller that sends it. */
	readonly caller: number;
};
