type WindowSlice = {readonly startedAt: number; requests: number; retries: number};

type RetryAllowanceOptions = {
	/** Repeated requests allowed as a share of first ones. */
	readonly ratio: number;
	/** This instance's part, at this moment, of the repeated requests that the fleet may send besides, in one window. */
	readonly getSlack: () => number;
	/** Length of the sliding window, in ms. */
	readonly windowMs: number;
};

/** Pieces of the sliding window; the oldest leaves as a whole. */
const sliceCount = 10;

/**
Allows repeats of requests, retries and hedges alike, as a share of the first requests in a sliding window. The shares of all
instances add up to the share of the fleet, whichever instances get the requests.
*/
export class RetryAllowance {
	private readonly _slices: WindowSlice[] = [];

	constructor(private readonly _options: RetryAllowanceOptions) {}

	/** Counts a first request. */
	addRequest(now: number): void {
		this._getCurrentSlice(now).requests++;
	}

	/** Takes one repeat; false when the window holds as many as are allowed. */
	tryTake(now: number): boolean {
		const slice = this._getCurrentSlice(now);
		if (this.getLeft(now) < 1) {
			return false;
		}

		slice.retries++;
		return true;
	}

	/** Repeats that are left in the window. */
	getLeft(now: number): number {
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
		// A piece holds events up to its end, which must all have left the window.
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
