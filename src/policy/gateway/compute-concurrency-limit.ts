import {computeSaturationFactor} from './compute-saturation-factor.js';

/** Computes the number of concurrent requests at which a target has the highest throughput; a nearly full target is slower. */
export const computeConcurrencyLimit = (slots: number): number => {
	let limit = 1;
	for (let running = 2; running <= slots; running++) {
		if (running / computeSaturationFactor(running, slots) > limit / computeSaturationFactor(limit, slots)) {
			limit = running;
		}
	}

	return limit;
};
