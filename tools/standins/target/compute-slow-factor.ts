import {SeededRandom} from '../../random/seeded-random.js';
import type {SlowSchedule} from './slow-schedule.js';

/** Computes the factor of a schedule at a wall-clock time in ms. */
export const computeSlowFactor = (schedule: SlowSchedule | undefined, now: number): number => {
	if (schedule === undefined || now < schedule.startedAt) {
		return 1;
	}

	const episode = Math.floor((now - schedule.startedAt) / schedule.episodeMs);
	return new SeededRandom(schedule.seed, episode).getNext() < schedule.share ? schedule.factor : 1;
};
