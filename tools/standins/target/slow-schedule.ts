/** Random slow episodes of a stand-in target, determined by a seed. Sent between processes. */
export type SlowSchedule = {
	readonly seed: number;
	/** Fraction of episodes in which the target is slow, 0 to 1. */
	readonly share: number;
	/** Factor by which service times are multiplied in slow episodes. */
	readonly factor: number;
	/** Length of an episode, in ms. */
	readonly episodeMs: number;
	/** Wall-clock time at which the first episode begins, in ms. */
	readonly startedAt: number;
};
