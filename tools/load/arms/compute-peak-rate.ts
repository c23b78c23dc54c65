const windowMs = 1000;

/** Computes the most events in any window of one second, from their times in ms in ascending order. */
export const computePeakRate = (times: readonly number[]): number => {
	let first = 0;
	let peak = 0;
	for (const [index, time] of times.entries()) {
		while (times[first]! <= time - windowMs) {
			first++;
		}

		peak = Math.max(peak, index - first + 1);
	}

	return peak;
};
