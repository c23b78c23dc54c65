import type {TargetLoad} from '../../common/gateway/target-load.js';

type Estimate = {
	readonly load: TargetLoad;
	/** Requests of this instance that are at the target or on their way. */
	readonly inFlight: number;
	/** Time that the service's work usually takes, in ms. */
	readonly usualMs: number;
	readonly isWarming: boolean;
	/** Time that work took at this target against what its reports promised, as a factor. */
	readonly slowness: number;
	/** Share of the target's last answers that were failures, 0 to 1. */
	readonly failureRate: number;
};

/** Time for which a report of the slowdown holds, in ms: neighbours on a target's machine change several times a second. */
const reportHoldsMs = 150;
/** Slowdown that is expected afterwards, as a factor of the usual time. */
const averageSlowdown = 1.75;
/** Occupied share of its slots above which a target slows down, and by how much; figures of the users' sites. */
const kneeShare = 0.8;
const kneeFactor = 1.7;
/** Slowdown of a target that has just started. */
const warmUpFactor = 2;
/** Cost of a failure in units of the expected duration: the request has to be sent again, later. */
const failureCost = 4;

/** Estimates how long a request would take at a target, in ms, with the time in its queue. */
export const estimateDuration = (estimate: Estimate): number => {
	const {load, usualMs} = estimate;
	const occupied = Math.max(load.running + load.waiting, estimate.inFlight);
	const withinReport = reportHoldsMs / load.slowdown;
	const nominal = usualMs <= withinReport ? usualMs * load.slowdown : reportHoldsMs + ((usualMs - withinReport) * averageSlowdown);
	const crowding = (occupied + 1) / load.slots > kneeShare ? kneeFactor : 1;
	const warm = estimate.isWarming ? warmUpFactor : 1;
	const work = nominal * crowding * warm * estimate.slowness;
	const ahead = Math.max(0, occupied + 1 - load.slots);
	return (work + ((ahead / load.slots) * work)) * (1 + (failureCost * estimate.failureRate));
};
