/** Part of the requests to a cold target that an instance may send. */
export type OwnerShare = {
	/** Time between two requests of this instance to the target, in ms. */
	readonly spacingMs: number;
	/** Time since which the instance has had a share, in ms. */
	readonly since: number;
};
