/** Hedges that a full window allows. A larger number lets more of them be sent in a row, a smaller one forgets unused ones sooner. */
const hedgesPerWindow = 4;

/**
Limits the hedges of one service to a ratio of its requests. The window is counted in requests and not in time: an instance that gets a
request or two a second would never be allowed a whole hedge in some seconds, and a busy one could send all hedges of a long time at once.
*/
export class HedgeLimit {
	private _requestCount = 0;
	/** Number of requests at the time of each hedge that is still in the window, the oldest first. */
	private readonly _hedges: number[] = [];

	/** @param _ratio - Hedges allowed per request, from 0 to 1. */
	constructor(private readonly _ratio: number) {}

	/** Whether a hedge may be sent now. */
	get hasLeft(): boolean {
		const windowRequests = hedgesPerWindow / this._ratio;
		while (this._hedges.length > 0 && (this._hedges[0] ?? 0) <= this._requestCount - windowRequests) {
			this._hedges.shift();
		}

		return this._hedges.length + 1 <= Math.min(this._requestCount * this._ratio, hedgesPerWindow);
	}

	/** Counts a request of the service. */
	addRequest(): void {
		this._requestCount++;
	}

	/** Takes one hedge; false when the window holds as many as are allowed. */
	tryTake(): boolean {
		if (!this.hasLeft) {
			return false;
		}

		this._hedges.push(this._requestCount);
		return true;
	}
}
