/** What a site consists of. */
export type SiteLayout = {
	readonly team: string;
	readonly failureDomains: readonly string[];
	/** Names of the services; templates and parameters come from the examples folder. */
	readonly services: readonly string[];
	/** Entry instances of today. */
	readonly entryCount: number;
};
