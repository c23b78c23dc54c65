import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Prime close to 2^32 divided by the golden ratio (multiplicative hashing, Knuth, 1973). */
const seedMultiplier = 0x9E_37_79_B1;
/** Constant of the MurmurHash3 finalizer (Appleby, 2011). */
const streamMultiplier = 0x85_EB_CA_6B;
/** Number of discarded first outputs, which are similar for similar seeds. */
const warmUpDraws = 4;

/** A pseudo-random generator (xoroshiro128+) whose sequence is determined by a seed and a stream number. */
export class SeededRandom {
	private readonly _generator;

	/**
	@param seed - Seed of the run.
	@param stream - Number of the stream; streams of one seed are independent.
	*/
	constructor(seed: number, stream = 0) {
		this._generator = xoroshiro128plus(Math.imul(seed + 1, seedMultiplier) + Math.imul(stream + 1, streamMultiplier));
		for (let draw = 0; draw < warmUpDraws; draw++) {
			this._generator.next();
		}
	}

	/** Draws from the uniform distribution over [0, 1). */
	readonly getNext = (): number => uniformFloat64(this._generator);

	/** Draws from the exponential distribution with the given mean. */
	getExponential(mean: number): number {
		return -Math.log(1 - this.getNext()) * mean;
	}

	/** Draws from the normal distribution with mean 0 and standard deviation 1 (Box and Muller, 1958). */
	getNormal(): number {
		return Math.sqrt(-2 * Math.log(1 - this.getNext())) * Math.cos(2 * Math.PI * this.getNext());
	}
}
