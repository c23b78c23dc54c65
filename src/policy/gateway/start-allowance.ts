/** Longest turn of the event loop that is aimed at, in ms: what callers, targets and peers send is read once a turn. */
const turnBudgetMs = 40;
/** Requests started in one turn: at least so many, so that a slow turn for another reason starves nobody, and at most so many. */
const minStarts = 2;
const maxStarts = 16;
/** How the number falls after a turn that was too long, as a factor, and grows after one that was not. */
const decreaseFactor = 0.5;
const increaseStep = 1;

/** How many requests to start in one turn of the event loop, by additive increase and multiplicative decrease (as in TCP's congestion control, RFC 5681). */
export class StartAllowance {
	private _starts = maxStarts;

	/** Requests that may be started in this turn. */
	get startsPerTurn(): number {
		return Math.floor(this._starts);
	}

	/** Notes the length of a turn, in ms. */
	update(turnMs: number): void {
		this._starts = turnMs > turnBudgetMs ? Math.max(minStarts, this._starts * decreaseFactor) : Math.min(maxStarts, this._starts + increaseStep);
	}
}
