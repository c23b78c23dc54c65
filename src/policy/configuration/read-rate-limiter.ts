/** Fraction of the allowed calls per second that open watches may use. What is left beside `callFraction` is a reserve for instances beyond the published maximum. */
const watchFraction = 0.65;
/** Fraction of the allowed calls per second that may be used to start calls. */
const callFraction = 0.25;
/** Calls per second while the number of instances that share the limit is not known yet. */
const initialCallsPerSecond = 2;
const initialWatches = 1;

/**
Limits the calls of one instance to the configuration service to its share of what all instances together may make.
A token bucket whose burst and refill per second are each half of the share, so that no second exceeds the share.
*/
export class ReadRateLimiter {
	private _maxInstances: number | undefined;
	private _tokens = initialCallsPerSecond;
	private _refilledAt: number;

	/** @param _totalPerSecond - Calls per second of all instances together; an open watch counts as one. */
	constructor(private readonly _totalPerSecond: number, now: number) {
		this._refilledAt = now;
	}

	/** Watches that this instance may keep open. */
	get watchLimit(): number {
		return this._maxInstances === undefined ? initialWatches : Math.floor(this._totalPerSecond * watchFraction / this._maxInstances);
	}

	/** Calls that this instance may start per second. */
	get callsPerSecond(): number {
		return this._maxInstances === undefined ? initialCallsPerSecond : this._totalPerSecond * callFraction / this._maxInstances;
	}

	/** Sets the published maximum number of instances. */
	setMaxInstances(maxInstances: number): void {
		this._maxInstances = Math.max(1, maxInstances);
	}

	/** Takes a token for one call; returns false when none is left. */
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
