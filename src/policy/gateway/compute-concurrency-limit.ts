import {computeSaturationFactor} from './compute-saturation-factor.js';
import {saturationThreshold} from './saturation-threshold.js';

/** Computes the number of concurrent requests at which a target has the highest throughput; a nearly full target is slower. */
export const computeConcurrencyLimit = (slots: number): number => {
	const unsaturated = Math.max(1, Math.floor(slots * saturationThreshold));
	return slots / computeSaturationFactor(slots, slots) > unsaturated ? slots : unsaturated;
};
