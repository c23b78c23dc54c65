/** Ways of choosing targets that are measured against each other. */
export enum ArmName {
	/** Each entry instance uses the targets in turn; callers use all entries. */
	RoundRobin = 'round robin',
	/** Fewest requests of the entry's own in flight; callers use all entries. */
	LeastOutstanding = 'least outstanding',
	/** Two probes a request; callers use all entries. */
	ProbePool = 'probe pool',
	/** The product as it ships. */
	Rattansill = 'rattansill',
	/** The product with all callers of a service sent to one entry, which then has exact counts. */
	Floor = 'floor',
}
