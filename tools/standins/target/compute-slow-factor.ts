import {SeededRandom} from '../../random/seeded-random.js';
import type {SlowSchedule} from './slow-schedule.js';

/**
Computes the factor of a schedule.
@param stream - Number of the target; targets are slow at different times.
@param now - Wall-clock time in ms.
*/
export const computeSlowFactor = (schedule: SlowSchedule | undefined, stream: number, now: number): number => {
	if (schedule === undefined || now < schedule.startedAt) {
		return 1;
	}

	const episode = Math.floor((now - schedule.startedAt) / schedule.episodeMs);
	return new SeededRandom(schedule.seed + stream, episode).getNext() < schedule.share ? schedule.factor : 1;
};
