/** What a service asks of its entry set. */
export type ServiceDemand = {
	readonly name: string;
	/** Load in target slots. */
	readonly load: number;
	/** Entries wanted; fewer are chosen where fewer live. */
	readonly entryCount: number;
};
