/** Distribution of service times. */
export type ServiceTimeSpec = {
	/** Median of short requests, in ms. */
	readonly medianMs: number;
	/** Deviation of the logarithm of a short request's time. */
	readonly sigma: number;
	/** Share of requests that are long. */
	readonly longShare: number;
	/** Factor by which long requests are longer. */
	readonly longFactor: number;
	readonly seed: number;
};
