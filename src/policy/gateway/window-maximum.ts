type Sample = {readonly at: number; readonly value: number};

/** Keeps the maximum of a value over a sliding window. */
export class WindowMaximum {
	private _samples: Sample[] = [];

	/** @param _windowMs - Length of the window, in ms. */
	constructor(private readonly _windowMs: number) {}

	/** Adds the current value and returns the maximum of the window. */
	add(value: number, now: number): number {
		// A new sample removes all that are not larger than itself, so the first is the maximum.
		this._samples = [...this._samples.filter(sample => sample.value > value && now - sample.at <= this._windowMs), {at: now, value}];
		return this._samples[0]?.value ?? value;
	}
}
