type RateLimiterOptions = {
	/** Current rate in events per second. */
	readonly getRate: () => number;
	/** Size of the largest burst, in seconds of the rate. */
	readonly burstSeconds: number;
};

/** Limits the average rate of events with a token bucket. */
export class RateLimiter {
	/** The bucket is full at the first event, whatever the rate is then. */
	private _tokens = Number.POSITIVE_INFINITY;

	constructor(private readonly _options: RateLimiterOptions, private _refilledAt: number) {}

	/** Takes one token; false when none is left. */
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
