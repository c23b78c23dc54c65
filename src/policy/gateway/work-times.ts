/** Time that work is assumed to take before any was seen, in ms. */
const initialMs = 200;
/** Weight of the newest answer in the averages, once there are enough. */
const newestWeight = 0.05;
/** Longest duration that counts, as a factor of the usual one: a few long requests would make all seem slow. */
const maxDurationFactor = 3;

/** Averages of the time that a service's work takes. */
export class WorkTimes {
	private _count = 0;
	private _usualMs = initialMs;
	private _meanMs = initialMs;

	/** Time that work takes at an idle target, in ms. */
	get usualMs(): number {
		return this._usualMs;
	}

	/** Time that work took lately, in ms. */
	get meanMs(): number {
		return this._meanMs;
	}

	/**
	Notes an answer.
	@param expectedSlowdown - Slowdown that was expected at the start, as a factor.
	*/
	record(durationMs: number, expectedSlowdown: number): void {
		this._count++;
		const weight = Math.max(newestWeight, 1 / (this._count + 1));
		this._usualMs += (Math.min(durationMs / expectedSlowdown, this._usualMs * maxDurationFactor) - this._usualMs) * weight;
		this._meanMs += (Math.min(durationMs, this._meanMs * maxDurationFactor) - this._meanMs) * weight;
	}
}
