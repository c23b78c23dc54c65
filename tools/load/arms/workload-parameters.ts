/** Service times and slow times that the arms share. */
export const workloadParameters = {
	/** Median of short requests, in ms. */
	medianMs: 20,
	/** Deviation of the logarithm of a short request's time; puts its p99 at 46 ms. */
	sigma: 0.36,
	longShare: 0.03,
	longFactor: 20,
	/** Share of the time during which a target is slow. */
	slowShare: 0.1,
	slowFactor: 4,
	/** Length of one slow or quick episode of a target, in ms. */
	slowEpisodeMs: 500,
	/** Share by which the demand swings. */
	swing: 0.3,
	swingPeriodMs: 2000,
} as const;
