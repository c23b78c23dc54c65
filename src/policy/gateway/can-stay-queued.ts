import {lateLookIntervalsMs} from './late-look-intervals-ms.js';

type Waiter = {
	readonly objectiveAt: number;
	/** Whether targets were probed for the request. */
	readonly hasProbed: boolean;
};

type Conditions = {
	/** Scarcity level of the service. */
	readonly level: number;
	/** Whether the request's class has got less than its minimum share of slots. */
	readonly isStarved: boolean;
	/** Expected duration at an idle target, in ms. */
	readonly usualMs: number;
};

/**
Decides whether a request stays in the queue. A late one is refused during a severe shortage, since it would not look for a slot again. Before its first look
it counts as late only when its objective has passed: otherwise an expected duration that is too long would never be corrected.
*/
export const canStayQueued = ({objectiveAt, hasProbed}: Waiter, {level, isStarved, usualMs}: Conditions, now: number): boolean =>
	isStarved || Number.isFinite(lateLookIntervalsMs[level]!) || objectiveAt >= now + (hasProbed ? usualMs : 0);
