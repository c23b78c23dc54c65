const burst = 10;

/** Allows extra requests, such as retries or hedges, as a share of first tries. */
export class ShareBudget {
	private _tokens = 0;

	/** Counts a first try; the ratio may change with the configuration. */
	addFirstTry(ratio: number): void {
		this._tokens = Math.min(burst, this._tokens + ratio);
	}

	/** Takes one extra request from the budget; false when it is used up. */
	tryTake(): boolean {
		if (this._tokens < 1) {
			return false;
		}

		this._tokens--;
		return true;
	}

	/** Gives back an extra request that was not sent. */
	giveBack(): void {
		this._tokens = Math.min(burst, this._tokens + 1);
	}
}
