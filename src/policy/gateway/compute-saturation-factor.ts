import {saturationThreshold} from './saturation-threshold.js';

/** Slowdown above the saturation threshold; see docs/design/platform.md. */
const saturationSlowdown = 1.7;

/**
Slowdown of a request by the utilization of its target, as a factor of the usual duration.
@param running - Requests at the target, including the new one.
*/
export const computeSaturationFactor = (running: number, slots: number): number => running / slots > saturationThreshold ? saturationSlowdown : 1;
