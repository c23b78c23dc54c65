import type {RandomSource} from '../../common/random-source.js';

type Candidate = {
	/** Requests of this instance in flight. */
	readonly inFlight: number;
};

/** Returns the index of the candidate with the fewest requests in flight, a random one among ties; undefined without candidates. */
export const chooseLeastOutstanding = (candidates: readonly Candidate[], random: RandomSource): number | undefined => {
	let best: number | undefined;
	let bestCount = Number.POSITIVE_INFINITY;
	let tieCount = 0;
	for (const [index, {inFlight}] of candidates.entries()) {
		tieCount = inFlight === bestCount ? tieCount + 1 : 1;
		if (inFlight < bestCount || (inFlight === bestCount && random() * tieCount < 1)) {
			best = index;
			bestCount = inFlight;
		}
	}

	return best;
};
