import type {TargetLoad} from '../../common/gateway/target-load.js';

type Estimate = {
	readonly load: TargetLoad;
	/** Requests of this instance that are in flight to the target. */
	readonly inFlight: number;
	/** Usual duration of a request of the service at an idle target, in ms. */
	readonly usualMs: number;
	/** Expected slowdown if the request starts now, as a factor of the usual duration. */
	readonly expectedSlowdown: number;
	/** Ratio of the measured to the expected durations at this target. */
	readonly durationRatio: number;
	/** Fraction of the target's recent attempts that failed, 0 to 1. */
	readonly failureRate: number;
};

/** Cost of a failure in units of the expected duration: the request must be retried later. */
const failureCost = 4;

/** Estimates the duration of a request at a target, in ms, including the time in its queue. */
export const estimateDuration = ({load, inFlight, usualMs, expectedSlowdown, durationRatio, failureRate}: Estimate): number => {
	const occupied = Math.max(load.running + load.waiting, inFlight);
	const workMs = usualMs * expectedSlowdown * durationRatio;
	const queuedAhead = Math.max(0, occupied + 1 - load.slots);
	return (workMs + ((queuedAhead / load.slots) * workMs)) * (1 + (failureCost * failureRate));
};
