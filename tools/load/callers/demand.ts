/** Demand over time. */
export type Demand = {
	/** Mean rate outside crests, a second. */
	readonly ratePerSecond: number;
	/** Share by which the rate swings up and down. */
	readonly swing: number;
	/** Length of one swing, in ms. */
	readonly swingPeriodMs: number;
	/** Factor of the rate during a crest; 1 for none. */
	readonly crestFactor: number;
	/** Time from the start of one crest to the next, in ms. */
	readonly crestEveryMs: number;
	/** Length of one crest, in ms; each begins half a length after its period. */
	readonly crestMs: number;
};
