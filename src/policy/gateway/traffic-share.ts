import {WindowMaximum} from './window-maximum.js';

type TrafficShareOptions = {
	/** Computes the current factor, see `computeTrafficFactor`. */
	readonly computeFactor: () => number;
	/** Window over which the uses of a limit add up, in ms. */
	readonly windowMs: number;
};

/**
Share of this instance in limits on the requests to one service, as a factor of an equal share. It is meant for a large fleet whose callers are sent to
few instances.
*/
export class TrafficShare {
	private readonly _divisors: WindowMaximum;
	private _divisor: number | undefined;

	constructor(private readonly _options: TrafficShareOptions) {
		this._divisors = new WindowMaximum(_options.windowMs);
	}

	/** The current factor, for limits on an average use. */
	get factor(): number {
		return this._options.computeFactor();
	}

	/**
	Gets the factor for a limit on the sum of uses within the window. It rises only after the window, since the instances that had the
	larger part before may have used it.
	*/
	getWindowFactor(now: number): number {
		// The value before held until now, however long nobody asked.
		this._divisors.add(this._divisor ?? 1 / this.factor, now);
		this._divisor = 1 / this.factor;
		return 1 / this._divisors.add(this._divisor, now);
	}
}
