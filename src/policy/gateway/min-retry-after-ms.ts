/** Shortest retry-after time for a request that was refused without being run, in ms; loads of targets and instances change several times a second. */
export const minRetryAfterMs = 250;
