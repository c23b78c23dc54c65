const maxTokens = 10;

/** Token bucket for extra attempts, such as retries or hedges, that first attempts refill. */
export class ExtraAttemptBudget {
	private _tokens = 0;

	/**
	Counts a first attempt.
	@param ratio - Extra attempts per first attempt; may change with the configuration.
	*/
	recordFirstAttempt(ratio: number): void {
		this._tokens = Math.min(maxTokens, this._tokens + ratio);
	}

	/** Takes a token for one extra attempt; returns false when none is left. */
	tryTake(): boolean {
		if (this._tokens < 1) {
			return false;
		}

		this._tokens--;
		return true;
	}

	/** Returns the token of an extra attempt that was not sent. */
	returnToken(): void {
		this._tokens = Math.min(maxTokens, this._tokens + 1);
	}
}
