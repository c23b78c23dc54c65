import {SeededRandom} from '../../random/seeded-random.js';
import type {SlowSchedule} from './slow-schedule.js';

/**
Computes the factor by which a schedule slows a target at a time; 1 outside slow episodes.
@param stream - Number of the target, which makes the slow episodes of targets independent.
@param now - Wall-clock time in ms.
*/
export const computeSlowFactor = (schedule: SlowSchedule | undefined, stream: number, now: number): number => {
	if (schedule === undefined || now < schedule.startedAt) {
		return 1;
	}

	const episode = Math.floor((now - schedule.startedAt) / schedule.episodeMs);
	return new SeededRandom(schedule.seed + stream, episode).getNext() < schedule.share ? schedule.factor : 1;
};
