/** Load of a service and the number of entries that it needs. */
export type ServiceDemand = {
	readonly name: string;
	/** Load in target slots. */
	readonly load: number;
	/** Requested number of entries; fewer are chosen when there are fewer candidates. */
	readonly entryCount: number;
};
