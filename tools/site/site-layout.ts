/** Team, failure domains, services and number of instances of an example site. */
export type SiteLayout = {
	/** Team that owns the services; also the region of the instances. */
	readonly team: string;
	readonly failureDomains: readonly string[];
	/** Names of the services; their templates and parameters are in `examples`. */
	readonly services: readonly string[];
	/** Default number of entry instances. */
	readonly entryCount: number;
};
