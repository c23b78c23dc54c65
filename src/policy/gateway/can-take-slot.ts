type SlotOffer = {
	/** Expected duration at the target with the free slot, in ms. */
	readonly estimateMs: number;
	/** Expected duration at an idle target, in ms. */
	readonly usualMs: number;
	readonly objectiveAt: number;
	readonly deadlineAt: number;
};

/** Expected duration, as a multiple of the usual one, up to which a late request takes a slot; on a slower target it would occupy the slot for long. */
const maxLateSlowdown = 1.8;
/** Remaining time until the deadline, as multiples of the expected duration, between which a late request takes a slot of a slow target. */
const urgentTimeLeftFactor = 1.5;
const minTimeLeftFactor = 1.2;

/**
Decides whether a request takes a free slot or waits for a better one. A request that can still meet its objective does not start where
it would miss it. A late one avoids slow targets until its deadline is near, and does not start where it would exceed the deadline.
*/
export const canTakeSlot = ({estimateMs, usualMs, objectiveAt, deadlineAt}: SlotOffer, now: number): boolean => {
	if (now + estimateMs <= objectiveAt) {
		return true;
	}

	if (now + usualMs <= objectiveAt) {
		return false;
	}

	const timeLeftFactor = (deadlineAt - now) / estimateMs;
	return timeLeftFactor >= minTimeLeftFactor && (estimateMs <= usualMs * maxLateSlowdown || timeLeftFactor <= urgentTimeLeftFactor);
};
