import type {Demand} from './demand.js';

/** Computes the rate of a demand, a second, at a time after its start in ms. */
export const computeRate = (demand: Demand, atMs: number): number => {
	const swing = 1 + (demand.swing * Math.sin(2 * Math.PI * atMs / demand.swingPeriodMs));
	const phaseMs = atMs % demand.crestEveryMs;
	const isCrest = phaseMs >= demand.crestMs / 2 && phaseMs < demand.crestMs * 1.5;
	return demand.ratePerSecond * swing * (isCrest ? demand.crestFactor : 1);
};
