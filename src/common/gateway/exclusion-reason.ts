/** Reasons for which a target is not among those that a request may be sent to now. */
export enum ExclusionReason {
	Leaving = 'leaving',
	Evacuated = 'evacuated',
	ColdWithoutPermit = 'cold-without-permit',
	Paused = 'paused',
	Ejected = 'ejected',
	Unhealthy = 'unhealthy',
	/** All slots within its concurrency limit are in use. */
	Full = 'full',
	/** A recent report shows that requests take much longer than usual, and it is not recent enough to replace a probe. */
	Slowed = 'slowed',
	/** It would have to be probed, and other targets that are more promising are probed first. */
	ProbeLimit = 'probe-limit',
}
