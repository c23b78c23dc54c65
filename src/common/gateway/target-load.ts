/** Load report of a target. */
export type TargetLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Current duration of requests as a multiple of the duration without slowdown. */
	readonly slowdown: number;
};
