/** Shortest time between two looks of a late request at the targets, in ms, by scarcity level; where it is infinite, late requests are refused. */
export const lateLookIntervalsMs: readonly number[] = [0, 200, 1000, Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY];
