/** Load balancing policies that the experiments compare. */
export enum ArmName {
	/** Each instance uses the targets round robin; callers use all instances. */
	RoundRobin = 'round robin',
	/** Each instance chooses the target with its fewest own requests in flight; callers use all instances. */
	LeastOutstanding = 'least outstanding',
	/** Two probes per request; callers use all instances. */
	ProbePool = 'probe pool',
	/** The default configuration of the product. */
	Rattansill = 'rattansill',
	/** The product with one instance per service, which has exact counts of requests in flight; the lower bound of the latency. */
	Floor = 'floor',
}
