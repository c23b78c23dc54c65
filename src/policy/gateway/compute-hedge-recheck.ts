type HedgeRecheckInput = {
	/** Time at which the first attempt got a slot, in ms. */
	readonly placedAt: number;
	/** Objective of the route, in ms. */
	readonly objectiveMs: number;
	readonly deadlineAt: number;
	/** Expected duration at an idle target, in ms. */
	readonly usualMs: number;
};

/** Shortest time between two decisions, as a fraction of the objective. */
const recheckFraction = 0.2;
/** Time between two decisions as a fraction of the time that the attempt has taken, so that one that is stuck for long causes few of them. */
const elapsedFraction = 0.5;

/** Computes the time after which to decide again on a hedge that could not be sent, in ms; undefined when it could not help then. */
export const computeHedgeRecheckMs = ({placedAt, objectiveMs, deadlineAt, usualMs}: HedgeRecheckInput, now: number): number | undefined => {
	const recheckMs = Math.max(objectiveMs * recheckFraction, (now - placedAt) * elapsedFraction);
	return now + recheckMs + usualMs > deadlineAt ? undefined : recheckMs;
};
