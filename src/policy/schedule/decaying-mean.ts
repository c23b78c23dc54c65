/** Exponentially weighted moving average over time. */
export class DecayingMean {
	private _mean: number | undefined;
	private _updatedAt = 0;
	private _weight = 0;

	/** @param _timeConstantMs - Age at which the weight of a sample has fallen to 1/e, in ms. */
	constructor(private readonly _timeConstantMs: number) {}

	/** The average; undefined before the first sample. */
	get mean(): number | undefined {
		return this._mean;
	}

	/** Adds a sample taken at `now`. */
	addSample(value: number, now: number): void {
		const decayedWeight = this._weight * Math.exp(-Math.max(0, now - this._updatedAt) / this._timeConstantMs);
		this._mean = (((this._mean ?? value) * decayedWeight) + value) / (decayedWeight + 1);
		this._weight = decayedWeight + 1;
		this._updatedAt = now;
	}

	/** The average, which approaches `prior` as the latest sample ages. */
	estimate(prior: number, now: number): number {
		if (this._mean === undefined) {
			return prior;
		}

		const weight = Math.exp(-Math.max(0, now - this._updatedAt) / this._timeConstantMs);
		return prior + ((this._mean - prior) * weight);
	}
}
