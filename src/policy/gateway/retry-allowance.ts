type Window = {readonly startedAt: number; requests: number; repeats: number};

type RetryAllowanceOptions = {
	/** Repeated requests allowed as a share of first ones. */
	readonly ratio: number;
	/** This instance's part, at this moment, of the repeated requests that the fleet may send besides, in one window. */
	readonly getSlack: () => number;
	/** Length of the sliding window, in ms. */
	readonly windowMs: number;
};

/** Pieces of the sliding window; the oldest leaves as a whole. */
const pieceCount = 10;

/**
Allows repeats of requests, retries and hedges alike, as a share of the first requests in a sliding window. The shares of all
instances add up to the share of the fleet, whichever instances get the requests.
*/
export class RetryAllowance {
	private readonly _pieces: Window[] = [];

	constructor(private readonly _options: RetryAllowanceOptions) {}

	/** Counts a first request. */
	addRequest(now: number): void {
		this._getPiece(now).requests++;
	}

	/** Takes one repeat; false when the window holds as many as are allowed. */
	tryTake(now: number): boolean {
		const piece = this._getPiece(now);
		if (this.getLeft(now) < 1) {
			return false;
		}

		piece.repeats++;
		return true;
	}

	/** Repeats that are left in the window. */
	getLeft(now: number): number {
		this._getPiece(now);
		let requests = 0;
		let repeats = 0;
		for (const {requests: first, repeats: again} of this._pieces) {
			requests += first;
			repeats += again;
		}

		return (requests * this._options.ratio) + this._options.getSlack() - repeats;
	}

	private _getPiece(now: number): Window {
		const pieceMs = this._options.windowMs / pieceCount;
		// A piece holds events up to its end, which must all have left the window.
		while (this._pieces.length > 0 && now - (this._pieces[0]?.startedAt ?? 0) > this._options.windowMs + pieceMs) {
			this._pieces.shift();
		}

		let last = this._pieces.at(-1);
		if (last === undefined || now - last.startedAt >= pieceMs) {
			last = {startedAt: now, requests: 0, repeats: 0};
			this._pieces.push(last);
		}

		return last;
	}
}
