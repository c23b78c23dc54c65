const secondMs = 1000;

/**
Limits the measuring requests of one instance to one target, so that the whole fleet never passes the agreed rate in
any second. An instance's share is the agreed rate divided by the published bound of instances, rounded down: it needs
no knowledge of the others, so a lagging list or a split changes nothing. A new instance starts without tokens, so a
restart brings no burst. Where the rate is below the bound the share is none, and only reports on answers are used.
*/
export class ProbeBudget {
	private _nextAt: number | undefined;

	/**
	Takes one measuring request; false when it has to wait.
	@param perSecond - Rate agreed for the whole fleet.
	@param maxInstances - Published bound of instances that run at the same time.
	*/
	tryTake(now: number, perSecond: number, maxInstances: number): boolean {
		const share = Math.floor(perSecond / maxInstances);
		if (share < 1) {
			return false;
		}

		const intervalMs = secondMs / share;
		this._nextAt ??= now + secondMs;
		if (now < this._nextAt) {
			return false;
		}

		this._nextAt = now + intervalMs;
		return true;
	}
}
