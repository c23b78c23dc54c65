/** A target's own report of its load, as it rides on answers or is polled. */
export type LoadReport = {
	/** Requests that the target says it runs. */
	readonly inFlight: number;
	/** Requests that the target says wait for a slot. */
	readonly queued: number;
	/** True when the target says that it is draining. */
	readonly draining: boolean;
};
