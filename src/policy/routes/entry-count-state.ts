/** The number of entries in use for a service. */
export type EntryCountState = {
	readonly count: number;
	/** Time from which fewer entries would suffice, in ms; undefined while fewer would not. */
	readonly lowerSince: number | undefined;
};
