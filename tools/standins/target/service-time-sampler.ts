import {SeededRandom} from '../../random/seeded-random.js';
import type {ServiceTimeSpec} from './service-time-spec.js';

/** Draws service times from a log-normal distribution; a fraction of them is multiplied by a factor. */
export class ServiceTimeSampler {
	private readonly _random: SeededRandom;

	constructor(private readonly _spec: ServiceTimeSpec, stream = 0) {
		this._random = new SeededRandom(_spec.seed, stream);
	}

	/** Mean of the distribution, in ms. */
	get meanMs(): number {
		const {medianMs, sigma, longShare, longFactor} = this._spec;
		return medianMs * Math.exp(sigma * sigma / 2) * (1 + (longShare * (longFactor - 1)));
	}

	/** Draws one service time, in ms, and whether it is a long one. */
	getNext(): {readonly serviceMs: number; readonly isLong: boolean} {
		const {medianMs, sigma, longShare, longFactor} = this._spec;
		const isLong = this._random.getNext() < longShare;
		const shortMs = medianMs * Math.exp(sigma * this._random.getNormal());
		return {serviceMs: isLong ? shortMs * longFactor : shortMs, isLong};
	}
}
