import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const seedSpread = 0x9E_37_79_B1;
const streamSpread = 0x85_EB_CA_6B;
const warmUpDraws = 4;

/** Random numbers that a seed and a stream number determine. */
export class SeededRandom {
	private readonly _generator;

	/**
	@param seed - Seed of the run.
	@param stream - Number of the stream; streams of one seed are independent.
	*/
	constructor(seed: number, stream = 0) {
		this._generator = xoroshiro128plus(Math.imul(seed + 1, seedSpread) + Math.imul(stream + 1, streamSpread));
		for (let draw = 0; draw < warmUpDraws; draw++) {
			this._generator.next();
		}
	}

	/** Draws a number of 0 (included) to 1 (excluded). */
	readonly getNext = (): number => uniformFloat64(this._generator);

	/** Draws from the exponential distribution with the given mean. */
	getExponential(mean: number): number {
		return -Math.log(1 - this.getNext()) * mean;
	}

	/** Draws from the normal distribution with mean 0 and deviation 1. */
	getNormal(): number {
		return Math.sqrt(-2 * Math.log(1 - this.getNext())) * Math.cos(2 * Math.PI * this.getNext());
	}
}
