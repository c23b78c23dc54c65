import type {TargetLoad} from '../../common/gateway/target-load.js';

type Estimate = {
	readonly load: TargetLoad;
	/** Requests of this instance that are at the target or on their way. */
	readonly inFlight: number;
	/** Time that the service's work usually takes, in ms. */
	readonly usualMs: number;
	/** Time that work takes if it starts now, as a factor of the usual time. */
	readonly startFactor: number;
	/** Time that work took at this target against what its reports promised, as a factor. */
	readonly slowness: number;
	/** Share of the target's last answers that were failures, 0 to 1. */
	readonly failureRate: number;
};

/** Cost of a failure in units of the expected duration: the request has to be sent again, later. */
const failureCost = 4;

/** Estimates how long a request would take at a target, in ms, with the time in its queue. */
export const estimateDuration = ({load, inFlight, usualMs, startFactor, slowness, failureRate}: Estimate): number => {
	const occupied = Math.max(load.running + load.waiting, inFlight);
	const workMs = usualMs * startFactor * slowness;
	const queuedAhead = Math.max(0, occupied + 1 - load.slots);
	return (workMs + ((queuedAhead / load.slots) * workMs)) * (1 + (failureCost * failureRate));
};
