/** Notices from the gap between two looks at the clock that the process did not run for a time. */
export class PauseDetector {
	private _lastAt: number;

	/**
	@param _thresholdMs - Shortest gap that counts as a pause, in ms.
	@param now - Time on the instance's clock, in ms.
	*/
	constructor(private readonly _thresholdMs: number, now: number) {
		this._lastAt = now;
	}

	/** Takes a look at the clock; the length of the pause in ms, undefined when there was none. */
	update(now: number): number | undefined {
		const gapMs = now - this._lastAt;
		this._lastAt = now;
		return gapMs >= this._thresholdMs ? gapMs : undefined;
	}
}
