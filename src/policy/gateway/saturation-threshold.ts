/** Utilization, including the new request, above which a target runs a request more slowly; see docs/design/platform.md. */
export const saturationThreshold = 0.8;
