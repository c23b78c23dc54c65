/** The properties of an instance by which the entries of a service are chosen. */
export type InstanceCandidate = {
	readonly id: string;
	readonly failureDomain: string;
};
