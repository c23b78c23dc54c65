/** A target's report of its own load. */
export type TargetLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Time that work takes at this moment, as a multiple of the usual time. */
	readonly slowdown: number;
};
