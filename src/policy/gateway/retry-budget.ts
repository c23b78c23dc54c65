type WindowSlice = {readonly startedAt: number; requests: number; retries: number};

type RetryBudgetOptions = {
	/** Retries allowed per first attempt, as a ratio. */
	readonly ratio: number;
	/** This instance's current share of the further retries that the fleet may send in one window. */
	readonly getSlack: () => number;
	/** Length of the sliding window, in ms. */
	readonly windowMs: number;
};

/** Slices of the sliding window; the oldest one expires as a whole. */
const sliceCount = 10;

/**
Limits retries and hedges to a ratio of the first attempts in a sliding window. The budgets of all instances add up to the budget of the
fleet, whichever instances get the requests.
*/
export class RetryBudget {
	private readonly _slices: WindowSlice[] = [];

	constructor(private readonly _options: RetryBudgetOptions) {}

	/** Counts the first attempt of a request. */
	addRequest(now: number): void {
		this._getCurrentSlice(now).requests++;
	}

	/** Takes one retry; false when the window holds as many as are allowed. */
	tryTake(now: number): boolean {
		const slice = this._getCurrentSlice(now);
		if (this.getRemaining(now) < 1) {
			return false;
		}

		slice.retries++;
		return true;
	}

	/** Computes the number of retries left in the window. */
	getRemaining(now: number): number {
		this._getCurrentSlice(now);
		let requests = 0;
		let retries = 0;
		for (const {requests: sliceRequests, retries: sliceRetries} of this._slices) {
			requests += sliceRequests;
			retries += sliceRetries;
		}

		return (requests * this._options.ratio) + this._options.getSlack() - retries;
	}

	private _getCurrentSlice(now: number): WindowSlice {
		const sliceMs = this._options.windowMs / sliceCount;
		// A slice holds events up to its end, and all of them must be older than the window.
		while (this._slices.length > 0 && now - (this._slices[0]?.startedAt ?? 0) > this._options.windowMs + sliceMs) {
			this._slices.shift();
		}

		let current = this._slices.at(-1);
		if (current === undefined || now - current.startedAt >= sliceMs) {
			current = {startedAt: now, requests: 0, retries: 0};
			this._slices.push(current);
		}

		return current;
	}
}
