/** Timing parameters of the membership protocol. */
export type MembershipTiming = {
	/** Time within which a suspected instance can refute the suspicion before it is declared dead, in ms. */
	readonly suspicionMs: number;
	/** Time after which a dead instance that is no longer listed is removed, in ms; must exceed the lag of the instance list. */
	readonly forgetMs: number;
};
