/** A priority that occurs among the routes of a service. */
export type ServicePriority = {
	/** 0 is the highest. */
	readonly priority: number;
	/** Shortest latency objective of the routes with this priority, in ms. */
	readonly objectiveMs: number;
};
