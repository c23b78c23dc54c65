/** Load as reported by a target, either in its responses or when polled. */
export type LoadReport = {
	/** Requests that the target is running. */
	readonly inFlight: number;
	/** Requests that wait for a slot at the target. */
	readonly queued: number;
	/** True when the target is draining. */
	readonly draining: boolean;
};
