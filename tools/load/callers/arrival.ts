/** One request of a load. */
export type Arrival = {
	/** Intended time of sending, after the start of the load, in ms. */
	readonly atMs: number;
	/** Index of the request's kind. */
	readonly kind: number;
	/** Time that the request occupies a slot of a healthy target, in ms. */
	readonly serviceMs: number;
	/** Index of the caller that sends it. */
	readonly caller: number;
};
