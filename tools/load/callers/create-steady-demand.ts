import type {Demand} from './demand.js';

/**
 * Creates a demand with a constant rate.
 *
 * @param ratePerSecond - Requests per second.
 */
export const createSteadyDemand = (ratePerSecond: number): Demand => ({
	ratePerSecond, swing: 0, swingPeriodMs: 1000, crestFactor: 1, crestEveryMs: 10_000, crestMs: 0,
});
