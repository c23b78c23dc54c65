import {SeededRandom} from '../../random/seeded-random.js';
import type {Arrival} from './arrival.js';
import {computeRate} from './compute-rate.js';
import type {Demand} from './demand.js';
import type {RequestKind} from './request-kind.js';

type ArrivalPlan = {
	readonly seed: number;
	readonly demand: Demand;
	readonly durationMs: number;
	readonly kinds: readonly RequestKind[];
	readonly callers: number;
};

const pickKind = (kinds: readonly RequestKind[], randomValue: number): number => {
	let cumulativeShare = 0;
	const index = kinds.findIndex(kind => {
		cumulativeShare += kind.share;
		return randomValue < cumulativeShare;
	});
	return index === -1 ? kinds.length - 1 : index;
};

/** Generates the arrivals of a load as a Poisson process whose rate follows the demand. Equal plans give equal arrivals. */
export const createArrivals = ({seed, demand, durationMs, kinds, callers}: ArrivalPlan): readonly Arrival[] => {
	const random = new SeededRandom(seed);
	const peakRate = demand.ratePerSecond * (1 + demand.swing) * Math.max(1, demand.crestFactor);
	const arrivals: Arrival[] = [];
	for (let atMs = random.getExponential(1000 / peakRate); atMs < durationMs; atMs += random.getExponential(1000 / peakRate)) {
		// Thinning: candidates arrive at the peak rate and are accepted with the probability of current rate / peak rate.
		const isAccepted = random.getNext() * peakRate < computeRate(demand, atMs);
		const kind = pickKind(kinds, random.getNext());
		const {medianMs = 0, sigma = 0} = kinds[kind] ?? {};
		const serviceMs = medianMs * Math.exp(sigma * random.getNormal());
		const caller = Math.floor(random.getNext() * callers);
		if (isAccepted) {
			arrivals.push({
				atMs, kind, serviceMs, caller,
			});
		}
	}

	return arrivals;
};
