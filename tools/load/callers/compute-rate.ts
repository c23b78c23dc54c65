import type {Demand} from './demand.js';

/**
 * Computes the arrival rate of a demand.
 *
 * @param atMs - Time since the start of the load, in ms.
 * @returns Requests per second.
 */
export const computeRate = (demand: Demand, atMs: number): number => {
	const swing = 1 + (demand.swing * Math.sin(2 * Math.PI * atMs / demand.swingPeriodMs));
	const phaseMs = atMs % demand.crestEveryMs;
	const isCrest = phaseMs >= demand.crestMs / 2 && phaseMs < demand.crestMs * 1.5;
	return demand.ratePerSecond * swing * (isCrest ? demand.crestFactor : 1);
};
