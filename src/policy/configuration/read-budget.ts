/** Share of the service's calls that waiting watches may take up; the rest is for calls and for instances beyond the bound. */
const watchShare = 0.65;
const callShare = 0.25;
/** Calls a second of a process that does not know yet with how many others it shares. */
const startCallsPerSecond = 2;
const startWatches = 1;

/**
One instance's part of the calls that all instances together may make to the configuration service. In any second an
instance starts no more calls than its share, because the burst and the refill are half of it each.
*/
export class ReadBudget {
	private _maxInstances: number | undefined;
	private _tokens = startCallsPerSecond;
	private _refilledAt: number;

	/** @param _totalPerSecond - Calls a second over all instances, a waiting watch counted as one. */
	constructor(private readonly _totalPerSecond: number, now: number) {
		this._refilledAt = now;
	}

	/** Watches that this instance may keep open. */
	get watchLimit(): number {
		return this._maxInstances === undefined ? startWatches : Math.floor(this._totalPerSecond * watchShare / this._maxInstances);
	}

	/** Calls that this instance may start in any second. */
	get callsPerSecond(): number {
		return this._maxInstances === undefined ? startCallsPerSecond : this._totalPerSecond * callShare / this._maxInstances;
	}

	/** Sets the published upper bound of instances. */
	setMaxInstances(maxInstances: number): void {
		this._maxInstances = Math.max(1, maxInstances);
	}

	/** Takes the right to one call; false when the share is used up. */
	tryAcquire(now: number): boolean {
		const burst = Math.max(1, this.callsPerSecond / 2);
		const refillPerMs = (this.callsPerSecond / 2) / 1000;
		this._tokens = Math.min(burst, this._tokens + ((now - this._refilledAt) * refillPerMs));
		this._refilledAt = now;
		if (this._tokens < 1) {
			return false;
		}

		this._tokens--;
		return true;
	}
}
