/** An entry instance as far as the choice of a service's entries needs it. */
export type EntryCandidate = {
	readonly id: string;
	readonly failureDomain: string;
};
