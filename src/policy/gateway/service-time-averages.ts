/** Initial value of both averages, in ms. */
const initialMs = 200;
/** Weight of the newest response in the averages, once there are enough responses. */
const newestWeight = 0.05;
/** Maximum counted duration, as a multiple of the average; otherwise a few long requests would make all seem slow. */
const maxDurationFactor = 3;

/** Moving averages of the service times, the durations of a service's requests at its targets. */
export class ServiceTimeAverages {
	private _count = 0;
	private _usualMs = initialMs;
	private _meanMs = initialMs;

	/** Average duration at an idle target, in ms. */
	get usualMs(): number {
		return this._usualMs;
	}

	/** Average of recent durations, in ms. */
	get meanMs(): number {
		return this._meanMs;
	}

	/**
	Adds the duration of a response to the averages.
	@param expectedSlowdown - Slowdown expected at the start, as a factor of the duration at an idle target.
	*/
	record(durationMs: number, expectedSlowdown: number): void {
		this._count++;
		const weight = Math.max(newestWeight, 1 / (this._count + 1));
		this._usualMs += (Math.min(durationMs / expectedSlowdown, this._usualMs * maxDurationFactor) - this._usualMs) * weight;
		this._meanMs += (Math.min(durationMs, this._meanMs * maxDurationFactor) - this._meanMs) * weight;
	}
}
