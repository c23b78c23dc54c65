import type {Clock} from '../../common/clock.js';

type FleetShareOptions = {
	readonly clock: Clock;
	/** Failure domains of the site; each gets the same part of a bound, whether it can reach the others or not. */
	readonly failureDomains: number;
	/** Time within which the uses of a bound add up, in ms. */
	readonly windowMs: number;
	/** Instances of the own failure domain that may be running, this one included. */
	readonly countLocal: () => number;
	/** False while an instance that should know others has heard of none. */
	readonly isJoined: () => boolean;
};

type Sample = {readonly at: number; readonly count: number};

/** Share of the fleet's bounds that is used, which leaves room for instances that have joined and are not known everywhere yet. */
const usedFraction = 0.8;

/**
Divides what the fleet as a whole may use among its instances without asking them: by failure domains, then by the most instances of
the own domain that were known at a time within the window. A view that shrinks enlarges no share before the window has passed.
*/
export class FleetShare {
	private readonly _startedAt: number;
	private _samples: Sample[] = [];

	constructor(private readonly _options: FleetShareOptions) {
		this._startedAt = _options.clock.now();
	}

	/** Counts the instances among which a bound is divided in the own failure domain. */
	countInstances(): number {
		const {clock, windowMs, countLocal} = this._options;
		const now = clock.now();
		const count = Math.max(1, countLocal());
		// A sample leaves behind only those larger than itself, so the first is the maximum of the window.
		this._samples = [...this._samples.filter(sample => sample.count > count && now - sample.at <= windowMs), {at: now, count}];
		return this._samples[0]?.count ?? count;
	}

	/** This instance's part of a bound on what is held at a time or sent on average. */
	divide(limit: number): number {
		return limit * usedFraction / Math.max(1, this._options.failureDomains) / this.countInstances();
	}

	/**
	This instance's part of a bound on a sum within the window. Nothing in the first window after the start: what a predecessor at the
	same address used still counts.
	*/
	divideSum(limit: number): number {
		const {clock, windowMs, isJoined} = this._options;
		return clock.now() - this._startedAt < windowMs || !isJoined() ? 0 : this.divide(limit);
	}
}
