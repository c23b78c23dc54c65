/** Growth of a target's remaining warm-up time up to which the warm-up has not started again, in ms; reports of it take different times to arrive. */
export const warmUpToleranceMs = 500;
