import {lateLookIntervalsMs} from './late-look-intervals-ms.js';
import {maxScarcityLevel} from './max-scarcity-level.js';

type Contender = {
	/** Time at which the request arrived, in ms. */
	readonly arrivedAt: number;
	/** Time of the request's last look at the targets, in ms; `-Infinity` before the first. */
	readonly lookedAt: number;
	readonly objectiveAt: number;
	/** Number of more urgent priorities among the routes of the service. */
	readonly rank: number;
};

type Conditions = {
	/** Scarcity level of the service. */
	readonly level: number;
	/** Time that a request of the highest priority can wait and still meet its objective, in ms. */
	readonly urgentRoomMs: number;
	/** Expected duration at an idle target, in ms. */
	readonly usualMs: number;
};

/** Time in which a request of the next lower priority competes for slots at the highest level, as a fraction of that of the priority above it. */
const rankWindowFactor = 0.8;

/**
Decides whether a request competes for a free slot yet. During a shortage a less urgent one lets others go first for as long as it can still
meet its objective afterwards, and a late one looks for a slot rarely or not at all. Time spent competing decides how often a class is served, since slots are found at random.
*/
export const canContend = ({arrivedAt, lookedAt, objectiveAt, rank}: Contender, {level, urgentRoomMs, usualMs}: Conditions, now: number): boolean => {
	const latestStartAt = objectiveAt - usualMs;
	if (now > latestStartAt) {
		return now - lookedAt >= lateLookIntervalsMs[level]!;
	}

	const roomMs = Math.max(0, latestStartAt - arrivedAt);
	const windowMs = Math.min(roomMs, urgentRoomMs * (rankWindowFactor ** rank));
	// Geometric steps: with linear ones a class with a distant objective would compete for much longer than the others below the highest level.
	const competingMs = roomMs === 0 ? 0 : roomMs * ((windowMs / roomMs) ** (level / maxScarcityLevel));
	return rank === 0 || now >= latestStartAt - competingMs;
};
