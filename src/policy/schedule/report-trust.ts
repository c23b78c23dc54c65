const decayFactor = 0.9;
const toleranceRequests = 1;

/** Trust in the load reports of a target, from how well they agreed with what was observed. */
export class ReportTrust {
	private _weight = 0.5;

	/** From 0 (reports are ignored) to 1 (reports are fully trusted). */
	get weight(): number {
		return this._weight < 0.2 ? 0 : this._weight;
	}

	/**
	Updates the trust from one report.
	@param reported - Requests that the target says it holds.
	@param observed - Requests that the entries know to be in flight at the target; it can hold more, from other senders, but not fewer.
	@param isQuick - Whether the target's latest responses were as quick as usual, which contradicts a report of a long queue.
	@param slots - Slots of the target.
	*/
	scoreReport(reported: number, observed: number, isQuick: boolean, slots: number): void {
		const isUnderstated = reported + toleranceRequests < observed;
		const isOverstated = isQuick && reported > Math.max(observed, slots) + toleranceRequests;
		this._weight = (this._weight * decayFactor) + (isUnderstated || isOverstated ? 0 : 1 - decayFactor);
	}
}
