type SlotOffer = {
	/** Expected duration at the place that is free, in ms. */
	readonly estimateMs: number;
	/** Expected duration at an idle target, in ms. */
	readonly usualMs: number;
	readonly objectiveAt: number;
	readonly deadlineAt: number;
};

/** Expected duration, as a factor of the usual one, up to which a late request takes a place: it would hold a slow one for long. */
const maxLateSlowdown = 1.8;
/** Time left, as factors of the expected duration, between which a late request takes a slow place rather than none. */
const urgentTimeLeftFactor = 1.5;
const minTimeLeftFactor = 1.2;

/**
Decides whether a request takes a free place or waits for a better one. One that can still meet its objective does not start where
it could not; one that cannot any more leaves slow places alone until its time runs short. None starts that would be cut.
*/
export const canTakePlace = ({estimateMs, usualMs, objectiveAt, deadlineAt}: SlotOffer, now: number): boolean => {
	if (now + estimateMs <= objectiveAt) {
		return true;
	}

	if (now + usualMs <= objectiveAt) {
		return false;
	}

	const timeLeftFactor = (deadlineAt - now) / estimateMs;
	return timeLeftFactor >= minTimeLeftFactor && (estimateMs <= usualMs * maxLateSlowdown || timeLeftFactor <= urgentTimeLeftFactor);
};
