/** Service times, slow episodes and demand swing, the same for all arms. */
export const workloadParameters = {
	/** Median service time of short requests, in ms. */
	medianMs: 20,
	/** Standard deviation of the logarithm of the service time; gives short requests a p99 of 46 ms. */
	sigma: 0.36,
	longShare: 0.03,
	longFactor: 20,
	/** Fraction of the time during which a target is slow. */
	slowShare: 0.1,
	slowFactor: 4,
	/** Duration of an episode of slow or normal speed of a target, in ms. */
	slowEpisodeMs: 500,
	/** Amplitude of the demand's swing, as a fraction of its mean. */
	swing: 0.3,
	swingPeriodMs: 2000,
} as const;
