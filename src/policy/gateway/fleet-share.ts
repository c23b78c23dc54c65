import type {Clock} from '../../common/clock.js';
import {WindowMaximum} from './window-maximum.js';

type FleetShareOptions = {
	readonly clock: Clock;
	/** Number of failure domains of the site; each gets the same share of a limit, whether it can reach the others or not. */
	readonly failureDomainCount: number;
	/** Window over which the uses of a limit add up, in ms. */
	readonly windowMs: number;
	/** Counts the instances of the own failure domain that may be running, including this one. */
	readonly countLocal: () => number;
	/** Whether this instance has joined the fleet: false while it has other seeds but knows no other instance. */
	readonly isJoined: () => boolean;
};

/** Fraction of the fleet's limits that is used; the rest covers instances that have joined and are not known everywhere yet. */
const usedFraction = 0.8;

/**
Divides fleet-wide limits among the instances without coordination: by failure domains, then by the largest number of instances in the
own domain known within the window. When instances disappear from the view, shares do not grow before the window has passed.
*/
export class FleetShare {
	private readonly _startedAt: number;
	private readonly _counts: WindowMaximum;

	constructor(private readonly _options: FleetShareOptions) {
		this._startedAt = _options.clock.now();
		this._counts = new WindowMaximum(_options.windowMs);
	}

	/** Counts the instances of the own failure domain among which a limit is divided. */
	countInstances(): number {
		const {clock, countLocal} = this._options;
		return this._counts.add(Math.max(1, countLocal()), clock.now());
	}

	/** Computes this instance's share of a limit on a concurrent or average use. */
	divide(limit: number): number {
		return limit * usedFraction / Math.max(1, this._options.failureDomainCount) / this.countInstances();
	}

	/**
	Computes this instance's share of a limit on the sum of uses within the window. It is 0 in the first window after the start, since the
	uses of a predecessor at the same address still count, and while the instance has not joined the fleet.
	*/
	divideWindowLimit(limit: number): number {
		const {clock, windowMs, isJoined} = this._options;
		return clock.now() - this._startedAt < windowMs || !isJoined() ? 0 : this.divide(limit);
	}
}
