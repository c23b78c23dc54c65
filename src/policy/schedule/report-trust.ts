const memory = 0.9;
const toleratedDifference = 1;

/** How far a target's reports may be believed, from how well they agreed with what was observed. */
export class ReportTrust {
	private _weight = 0.5;

	/** From 0, not believed, to 1. */
	get weight(): number {
		return this._weight < 0.2 ? 0 : this._weight;
	}

	/**
	Scores a report.
	@param reported - Requests that the target says it holds.
	@param observed - Requests that the entries know to be in flight at the target; it can hold more, of others, but not fewer.
	@param isQuick - Whether the target's latest answers were as quick as usual, which contradicts a report of a long queue.
	@param slots - Slots of the target.
	*/
	scoreReport(reported: number, observed: number, isQuick: boolean, slots: number): void {
		const hides = reported + toleratedDifference < observed;
		const exaggerates = isQuick && reported > Math.max(observed, slots) + toleratedDifference;
		this._weight = (this._weight * memory) + (hides || exaggerates ? 0 : 1 - memory);
	}
}
