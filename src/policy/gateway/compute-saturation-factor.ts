/** Utilization, including the new request, above which a target runs a request more slowly, and the slowdown; see docs/design/platform.md. */
const saturationThreshold = 0.8;
const saturationSlowdown = 1.7;

/**
Slowdown of a request by the utilization of its target, as a factor of the usual duration.
@param running - Requests at the target, including the new one.
*/
export const computeSaturationFactor = (running: number, slots: number): number => running / slots > saturationThreshold ? saturationSlowdown : 1;
