import type {TargetLoad} from '../../common/gateway/target-load.js';
import {computeSaturationFactor} from './compute-saturation-factor.js';

type StartConditions = {
	readonly load: TargetLoad;
	/** Requests of this instance that are at the target or on their way. */
	readonly inFlight: number;
	readonly isWarming: boolean;
};

/** Slowdown of a target that has just started. */
const warmUpFactor = 2;

/**
Time that work takes if it starts at a target now, as a factor of the usual time. The neighbours and the occupied slots of the
moment of the start count; later changes do not alter it (docs/design/platform.md).
*/
export const computeStartFactor = ({load, inFlight, isWarming}: StartConditions): number => {
	const occupied = Math.max(load.running + load.waiting, inFlight);
	return load.slowdown * computeSaturationFactor(Math.min(load.slots, occupied + 1), load.slots) * (isWarming ? warmUpFactor : 1);
};
