/** Time budget for one turn of the event loop, in ms; data of callers, targets and peers is read once per turn. */
const turnBudgetMs = 40;
/** Minimum and maximum number of requests started in one turn; the minimum prevents starvation when turns are slow for other reasons. */
const minStarts = 2;
const maxStarts = 16;
/** Factor applied to the number of starts after a turn over budget, and step added after one within it. */
const decreaseFactor = 0.5;
const increaseStep = 1;

/** Limits the requests started in one turn of the event loop by additive increase and multiplicative decrease (as in TCP congestion control, RFC 5681). */
export class StartLimit {
	private _starts = maxStarts;

	/** Number of requests that may be started in one turn. */
	get startsPerTurn(): number {
		return Math.floor(this._starts);
	}

	/** Adjusts the limit to the duration of a turn, in ms. */
	update(turnMs: number): void {
		this._starts = turnMs > turnBudgetMs ? Math.max(minStarts, this._starts * decreaseFactor) : Math.min(maxStarts, this._starts + increaseStep);
	}
}
