type HedgeDelayInput = {
	/** Duration that the share of requests that may be hedged exceeds, in ms; undefined while too few durations are known. */
	readonly quantileMs: number | undefined;
	/** Duration that half of the requests exceed, in ms. */
	readonly typicalMs: number;
	/** Objective of the route, in ms. */
	readonly objectiveMs: number;
	/** Time that the first attempt has left until its objective, in ms; negative when that has passed. */
	readonly objectiveLeftMs: number;
};

/** Fraction of the objective after which a request is hedged while the durations of the service are not known. */
const unknownDelayFraction = 0.6;
/** Shortest delay, in ms: choosing a target with probes takes up to 8 ms, and a request in its last milliseconds is not shortened by a hedge. */
const minDelayMs = 20;
/** Duration for which a hedge has to leave time, as a multiple of the typical one: with one, half of the hedges would miss the objective; a larger one hedges requests that are not slow. */
const hedgeDurationFactor = 1.25;
/** Time for choosing a target and opening a connection to it, in ms. */
const placingMs = 20;

/**
Computes the time after which the first attempt of a request is hedged, in ms: the quantile of the durations, but not less than the typical
duration, and not so late that the hedge would miss an objective that an earlier one meets.
*/
export const computeHedgeDelayMs = ({quantileMs, typicalMs, objectiveMs, objectiveLeftMs}: HedgeDelayInput): number => {
	const minMs = Math.max(minDelayMs, typicalMs);
	const latestMs = objectiveLeftMs - (typicalMs * hedgeDurationFactor) - placingMs;
	const slowMs = quantileMs === undefined ? objectiveMs * unknownDelayFraction : Math.max(minMs, quantileMs);
	return latestMs >= minMs ? Math.min(slowMs, latestMs) : slowMs;
};
