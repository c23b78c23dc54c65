/** Distribution of service times: log-normal for short requests, a multiple of that for long ones. */
export type ServiceTimeSpec = {
	/** Median of short requests, in ms. */
	readonly medianMs: number;
	/** Standard deviation of the natural logarithm of the service time of short requests. */
	readonly sigma: number;
	/** Fraction of requests that are long, 0 to 1. */
	readonly longShare: number;
	/** Factor by which the service time of long requests is multiplied. */
	readonly longFactor: number;
	readonly seed: number;
};
