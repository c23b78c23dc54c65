/** The number of entries in use for a service. */
export type EntryCountState = {
	readonly count: number;
	/** Time since when fewer entries would do, in ms; undefined while none fewer would. */
	readonly lowerSince: number | undefined;
};
