type RateBudgetOptions = {
	/** Events a second at this moment. */
	readonly getRate: () => number;
	/** Seconds of the rate that may be saved up. */
	readonly burstSeconds: number;
};

/** Allows a number of events a second on average. */
export class RateBudget {
	/** Full at the first event, whatever the rate is then. */
	private _tokens = Number.POSITIVE_INFINITY;

	constructor(private readonly _options: RateBudgetOptions, private _refilledAt: number) {}

	/** Takes one event; false when the rate is used up. */
	tryTake(now: number): boolean {
		const rate = this._options.getRate();
		this._tokens = Math.min(rate * this._options.burstSeconds, this._tokens + (((now - this._refilledAt) / 1000) * rate));
		this._refilledAt = now;
		if (this._tokens < 1) {
			return false;
		}

		this._tokens--;
		return true;
	}
}
