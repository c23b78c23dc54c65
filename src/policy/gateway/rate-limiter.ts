type RateLimiterOptions = {
	/** Current rate in events per second. */
	readonly getRate: () => number;
	/** Size of the largest burst, in seconds of the rate. */
	readonly burstSeconds: number;
};

/** Limits the average rate of events with a token bucket. */
export class RateLimiter {
	/** @param _tokens - Tokens at that time. By default the bucket is full at the first event, whatever the rate is then. */
	constructor(private readonly _options: RateLimiterOptions, private _refilledAt: number, private _tokens = Number.POSITIVE_INFINITY) {}

	/** Creates a copy whose changes do not reach this one, for a dry run. */
	createCopy(): RateLimiter {
		return new RateLimiter(this._options, this._refilledAt, this._tokens);
	}

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
