/** Times of the membership, in ms. */
export type MembershipTiming = {
	/** Time for which an unreachable instance may refute before it counts as dead. */
	readonly suspicionMs: number;
	/** Time after which a dead instance that the list no longer names is forgotten; longer than the list lags. */
	readonly forgetMs: number;
};
