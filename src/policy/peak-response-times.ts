/** Time after which a recorded peak has decayed to half, in ms. */
const halfLifeMs = 30_000;

type Peak = {timeMs: number; at: number};

/** Tracks the peak response time of each rule, which decays exponentially with its age. */
export class PeakResponseTimes {
	private readonly _peaks = new Map<string, Peak>();

	/**
	Records the time from the dispatch of a request to the head of its response.
	@param rule - Service and rule of the request, such as `lacefront/lookup`.
	@param timeMs - Response time in ms.
	@param now - Time on the instance's clock, in ms.
	*/
	recordResponseTime(rule: string, timeMs: number, now: number): void {
		if (timeMs >= this.getPeakMs(rule, now)) {
			this._peaks.set(rule, {timeMs, at: now});
		}
	}

	/** Returns the decayed peak response time of a rule in ms; 0 when there is none. */
	getPeakMs(rule: string, now: number): number {
		const peak = this._peaks.get(rule);
		return peak === undefined ? 0 : peak.timeMs * (0.5 ** ((now - peak.at) / halfLifeMs));
	}
}
