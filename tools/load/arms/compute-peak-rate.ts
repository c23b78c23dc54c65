const windowMs = 1000;

/**
 * Computes the highest number of events in any window of one second.
 *
 * @param timesMs - Times of the events, in ms, ascending.
 */
export const computePeakRate = (timesMs: readonly number[]): number => {
	let windowStart = 0;
	let peak = 0;
	for (const [index, timeMs] of timesMs.entries()) {
		while (timesMs[windowStart]! <= timeMs - windowMs) {
			windowStart++;
		}

		peak = Math.max(peak, index - windowStart + 1);
	}

	return peak;
};
