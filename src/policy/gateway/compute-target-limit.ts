import {computeSaturationFactor} from './compute-saturation-factor.js';

/** Requests that a target should run at a time: the number at which it completes most, since a nearly full target is slower. */
export const computeTargetLimit = (slots: number): number => {
	let limit = 1;
	for (let running = 2; running <= slots; running++) {
		if (running / computeSaturationFactor(running, slots) > limit / computeSaturationFactor(limit, slots)) {
			limit = running;
		}
	}

	return limit;
};
