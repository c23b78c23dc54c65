/** Allows a number of events a second, with a burst of one second's worth. */
export class RateBudget {
	private _tokens: number;

	constructor(private readonly _perSecond: number, private _filledAt: number) {
		this._tokens = _perSecond;
	}

	/** Takes one event; false when the rate is used up. */
	tryTake(now: number): boolean {
		this._tokens = Math.min(this._perSecond, this._tokens + (((now - this._filledAt) / 1000) * this._perSecond));
		this._filledAt = now;
		if (this._tokens < 1) {
			return false;
		}

		this._tokens--;
		return true;
	}
}
