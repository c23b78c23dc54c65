/** Lower answers in a row that are needed; a single one may itself be wrong. */
const minAnswers = 3;
/** Time over which they have to be spread, in ms. */
const minSpreadMs = 500;

/**
Decides when a registry whose answers have a lower revision than one seen before is believed. Its revision only grows, so either the earlier
answer was wrong or the registry was restored from a backup; in both cases its present count is the one to follow.
*/
export class RevisionRegression {
	private _lowerAnswers = 0;
	private _firstLowerAt = 0;

	/** Notes whether an answer had a lower revision; returns whether the registry's present count is to be accepted. */
	noteAnswer(isLower: boolean, now: number): boolean {
		if (!isLower) {
			this._lowerAnswers = 0;
			return false;
		}

		if (this._lowerAnswers === 0) {
			this._firstLowerAt = now;
		}

		this._lowerAnswers++;
		const isAccepted = this._lowerAnswers >= minAnswers && now - this._firstLowerAt >= minSpreadMs;
		if (isAccepted) {
			this._lowerAnswers = 0;
		}

		return isAccepted;
	}
}
