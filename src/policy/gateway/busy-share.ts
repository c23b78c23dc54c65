/** Time constant of the moving average, in ms: load peaks last some seconds. */
const averageMs = 1000;
/** Largest weight of one report, which bounds the noise of an instance with few requests. */
const maxWeight = 0.25;
/** Smallest weight of one report: those of one request arrive at the same time, and all of them count. */
const minWeight = 0.05;
/** Age of the last report from which the share is 0, in ms, since nothing is known then. */
const maxAgeMs = 2000;

/** Share of recent load reports that showed a full or slowed target, as a moving average. */
export class BusyShare {
	private _share = 0;
	private _notedAt = Number.NEGATIVE_INFINITY;

	noteReport(isBusy: boolean, now: number): void {
		const weight = Math.max(minWeight, Math.min(maxWeight, 1 - Math.exp((this._notedAt - now) / averageMs)));
		this._share = this.getShare(now);
		this._share += ((isBusy ? 1 : 0) - this._share) * weight;
		this._notedAt = now;
	}

	/** Gets the share, 0 to 1. */
	getShare(now: number): number {
		return now - this._notedAt > maxAgeMs ? 0 : this._share;
	}
}
