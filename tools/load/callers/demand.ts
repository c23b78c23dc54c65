/** Arrival rate over time: a mean rate with a sinusoidal swing and periodic peaks (crests). */
export type Demand = {
	/** Mean rate outside crests, in requests per second. */
	readonly ratePerSecond: number;
	/** Amplitude of the swing, as a fraction of the mean rate. */
	readonly swing: number;
	/** Period of the swing, in ms. */
	readonly swingPeriodMs: number;
	/** Factor applied to the rate during a crest; 1 for none. */
	readonly crestFactor: number;
	/** Period of the crests, in ms. */
	readonly crestEveryMs: number;
	/** Duration of one crest, in ms; it starts half this duration after the start of its period. */
	readonly crestMs: number;
};
