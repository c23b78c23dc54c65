const secondMs = 1000;

/**
Limits the load probes of one instance to one target, so that the whole fleet stays within the agreed rate in every
second. Each instance gets the agreed rate divided by the published maximum number of instances, rounded down. This
needs no knowledge of the other instances, so a stale instance list or a network partition does not raise the rate. A
new instance waits one second before its first probe, so a restart causes no burst. Where the rate is below the maximum
number of instances no probes are sent, and only the load reports of responses are used.
*/
export class ProbeRateLimiter {
	private _nextAt: number | undefined;

	/**
	Takes one probe; returns false when it has to wait.
	@param perSecond - Probes per second agreed for the whole fleet.
	@param maxInstances - Published maximum number of instances that run at the same time.
	*/
	tryTake(now: number, perSecond: number, maxInstances: number): boolean {
		const instanceRate = Math.floor(perSecond / maxInstances);
		if (instanceRate < 1) {
			return false;
		}

		const intervalMs = secondMs / instanceRate;
		this._nextAt ??= now + secondMs;
		if (now < this._nextAt) {
			return false;
		}

		this._nextAt = now + intervalMs;
		return true;
	}
}
