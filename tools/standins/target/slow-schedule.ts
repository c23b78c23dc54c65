/** Times at which a stand-in target is slow, determined by a seed. */
export type SlowSchedule = {
	readonly seed: number;
	/** Share of the time during which the target is slow. */
	readonly share: number;
	/** Factor by which service times grow. */
	readonly factor: number;
	/** Length of one slow or quick episode, in ms. */
	readonly episodeMs: number;
	/** Wall-clock time at which the schedule begins, in ms. */
	readonly startedAt: number;
};
