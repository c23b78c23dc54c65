import {computeCrowding} from './compute-crowding.js';

/** Requests that a target should run at a time: the number at which it completes most, since a nearly full target is slower. */
export const computeTargetLimit = (slots: number): number => {
	let limit = 1;
	for (let running = 2; running <= slots; running++) {
		if (running / computeCrowding(running, slots) > limit / computeCrowding(limit, slots)) {
			limit = running;
		}
	}

	return limit;
};
