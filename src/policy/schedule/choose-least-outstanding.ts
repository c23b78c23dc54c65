import type {RandomSource} from '../../common/random-source.js';

type Candidate = {
	/** Requests of this instance in flight. */
	readonly inFlight: number;
};

/** Index of the candidate with the fewest requests in flight, a random one among equals; undefined without candidates. */
export const chooseLeastOutstanding = (candidates: readonly Candidate[], random: RandomSource): number | undefined => {
	let best: number | undefined;
	let bestCount = Number.POSITIVE_INFINITY;
	let equals = 0;
	for (const [index, {inFlight}] of candidates.entries()) {
		equals = inFlight === bestCount ? equals + 1 : 1;
		if (inFlight < bestCount || (inFlight === bestCount && random() * equals < 1)) {
			best = index;
			bestCount = inFlight;
		}
	}

	return best;
};
