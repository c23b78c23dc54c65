/** Occupied share of its slots, the new request included, above which a target starts work slowly, and by how much; measured in docs/design/platform.md. */
const saturationThreshold = 0.8;
const saturationSlowdown = 1.7;

/**
Time that work takes at a nearly full target, as a factor of the usual time.
@param running - Requests at the target, the new one included.
*/
export const computeSaturationFactor = (running: number, slots: number): number => running / slots > saturationThreshold ? saturationSlowdown : 1;
