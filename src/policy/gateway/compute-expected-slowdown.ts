import type {TargetLoad} from '../../common/gateway/target-load.js';
import {computeSaturationFactor} from './compute-saturation-factor.js';

type StartConditions = {
	readonly load: TargetLoad;
	/** Requests of this instance that are in flight to the target. */
	readonly inFlight: number;
	readonly isWarming: boolean;
};

/** Slowdown of a target during its warm-up, as a factor. */
const warmUpFactor = 2;

/**
Computes the expected slowdown of a request that starts at a target now, as a factor of the usual duration. Only the load of the machine
and the occupied slots at the start matter; later changes do not alter the duration (docs/design/platform.md).
*/
export const computeExpectedSlowdown = ({load, inFlight, isWarming}: StartConditions): number => {
	const occupied = Math.max(load.running + load.waiting, inFlight);
	return load.slowdown * computeSaturationFactor(Math.min(load.slots, occupied + 1), load.slots) * (isWarming ? warmUpFactor : 1);
};
