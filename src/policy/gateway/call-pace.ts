type CallPaceOptions = {
	/** Highest lasting rate of calls. */
	readonly callsPerSecond: number;
	/** Number of calls that may follow each other without a pause. */
	readonly burst: number;
};

const msPerSecond = 1000;

/** Bounds the rate of calls whatever their responses are: allows a burst, then one call an interval. */
export class CallPace {
	private readonly _intervalMs: number;
	/** Time at which all calls so far would have been due, had each been one interval after the other, in ms. */
	private _dueAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: CallPaceOptions) {
		this._intervalMs = msPerSecond / _options.callsPerSecond;
	}

	/** Counts one call and returns how long to wait before making it, in ms. */
	planPause(now: number): number {
		this._dueAt = Math.max(this._dueAt, now - (this._options.burst * this._intervalMs)) + this._intervalMs;
		return Math.max(0, this._dueAt - now);
	}
}
