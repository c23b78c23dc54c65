/** A moving average over time: an older sample weighs less by a factor e for every `memoryMs` of age. */
export class DecayingMean {
	private _mean: number | undefined;
	private _updatedAt = 0;
	private _weight = 0;

	/** @param _memoryMs - Age at which a sample has lost all but 1/e of its weight, in ms. */
	constructor(private readonly _memoryMs: number) {}

	/** The average; undefined before the first sample. */
	get mean(): number | undefined {
		return this._mean;
	}

	/** Adds a sample. */
	addSample(value: number, now: number): void {
		const kept = this._weight * Math.exp(-Math.max(0, now - this._updatedAt) / this._memoryMs);
		this._mean = (((this._mean ?? value) * kept) + value) / (kept + 1);
		this._weight = kept + 1;
		this._updatedAt = now;
	}

	/** The average, drawn towards `prior` as its samples age. */
	estimate(prior: number, now: number): number {
		if (this._mean === undefined) {
			return prior;
		}

		const trust = Math.exp(-Math.max(0, now - this._updatedAt) / this._memoryMs);
		return prior + ((this._mean - prior) * trust);
	}
}
