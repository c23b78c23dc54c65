/** Detects that the process did not run for a while, from the gap between two readings of the clock. */
export class PauseDetector {
	private _lastCheckedAt: number;

	/**
	@param _thresholdMs - Shortest gap that counts as a pause, in ms.
	@param now - Time on the instance's clock, in ms.
	*/
	constructor(private readonly _thresholdMs: number, now: number) {
		this._lastCheckedAt = now;
	}

	/** Records a reading of the clock; returns the length of the pause before it in ms, or undefined when there was none. */
	update(now: number): number | undefined {
		const gapMs = now - this._lastCheckedAt;
		this._lastCheckedAt = now;
		return gapMs >= this._thresholdMs ? gapMs : undefined;
	}
}
