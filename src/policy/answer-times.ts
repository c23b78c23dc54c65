/** Time after which a long answer counts half, in ms. */
const halfLifeMs = 30_000;

type Longest = {timeMs: number; at: number};

/** Remembers how long answers lately took, a rule: the longest of late, which fades with its age. */
export class AnswerTimes {
	private readonly _longest = new Map<string, Longest>();

	/**
	Records the time from dispatch to the head of an answer.
	@param rule - Service and rule of the request.
	@param timeMs - Time in ms.
	@param now - Present time in ms.
	*/
	recordAnswer(rule: string, timeMs: number, now: number): void {
		if (timeMs >= this.estimateLongest(rule, now)) {
			this._longest.set(rule, {timeMs, at: now});
		}
	}

	/** The longest time to an answer of late, in ms; 0 when none was seen. */
	estimateLongest(rule: string, now: number): number {
		const longest = this._longest.get(rule);
		return longest === undefined ? 0 : longest.timeMs * (0.5 ** ((now - longest.at) / halfLifeMs));
	}
}
