/** Load balancing policy; all but `Rattansill` are baselines for measurements. */
export enum DecisionPolicy {
	/** Uses the targets in rotation. */
	RoundRobin = 'round-robin',
	/** Chooses the target with the fewest requests of this instance in flight. */
	LeastOutstanding = 'least-outstanding',
	/** Sends two probes per request and chooses the best target from a pool of recent load reports. */
	ProbePool = 'probe-pool',
	/** Queues requests at the entry until a slot is expected to be free, based on in-flight counts that the entries of a service share. */
	Rattansill = 'rattansill',
}
