import {SeededRandom} from '../../random/seeded-random.js';
import type {ServiceTimeSpec} from './service-time-spec.js';

/** Draws service times: log-normal, a share of them several times longer. */
export class ServiceTimeSampler {
	private readonly _random: SeededRandom;

	constructor(private readonly _spec: ServiceTimeSpec, stream = 0) {
		this._random = new SeededRandom(_spec.seed, stream);
	}

	/** Mean of all service times, in ms. */
	get meanMs(): number {
		const {medianMs, sigma, longShare, longFactor} = this._spec;
		return medianMs * Math.exp(sigma * sigma / 2) * (1 + (longShare * (longFactor - 1)));
	}

	/** Draws one service time; the share of long ones may be given by the caller's choice. */
	getNext(): {readonly serviceMs: number; readonly isLong: boolean} {
		const {medianMs, sigma, longShare, longFactor} = this._spec;
		const isLong = this._random.getNext() < longShare;
		const shortMs = medianMs * Math.exp(sigma * this._random.getNormal());
		return {serviceMs: isLong ? shortMs * longFactor : shortMs, isLong};
	}
}
