type HedgeRecheckInput = {
	/** Time at which the first attempt got a slot, in ms. */
	readonly placedAt: number;
	/** Time after which the attempt counted as slow, in ms. */
	readonly delayMs: number;
	/** Objective of the route, in ms. */
	readonly objectiveMs: number;
	readonly objectiveAt: number;
	readonly deadlineAt: number;
	/** Expected duration at an idle target, in ms. */
	readonly usualMs: number;
};

/** Shortest time between two decisions, as a fraction of the objective. */
const recheckFraction = 0.2;
/** Time between two decisions as a fraction of the time that the attempt has taken, so that one that is stuck for long causes few of them. */
const elapsedFraction = 0.5;
/** Age of an attempt, as a multiple of the delay, from which a hedge that misses the objective is sent: it gains little unless the attempt is lost. */
const lateDelayFactor = 2;

/** Computes the time after which to decide again on a hedge that could not be sent, in ms; undefined when it could not help then. */
export const computeHedgeRecheckMs = (input: HedgeRecheckInput, now: number): number | undefined => {
	const {placedAt, delayMs, objectiveMs, objectiveAt, deadlineAt, usualMs} = input;
	const recheckMs = Math.max(objectiveMs * recheckFraction, (now - placedAt) * elapsedFraction);
	const isLate = now + recheckMs + usualMs > objectiveAt;
	const delayedMs = isLate ? Math.max(recheckMs, placedAt + (delayMs * lateDelayFactor) - now) : recheckMs;
	return now + delayedMs + usualMs > deadlineAt ? undefined : delayedMs;
};
