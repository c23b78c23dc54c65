/** How targets are chosen; all but `Rattansill` are baselines for measurements. */
export enum DecisionPolicy {
	/** Each target in turn. */
	RoundRobin = 'round-robin',
	/** The target with the fewest of this instance's requests in flight. */
	LeastOutstanding = 'least-outstanding',
	/** Two probes a request, and the best of a pool of recent reports. */
	ProbePool = 'probe-pool',
	/** Held at the entry until a slot is believed free, by counts shared between the entries of a service. */
	Rattansill = 'rattansill',
}
