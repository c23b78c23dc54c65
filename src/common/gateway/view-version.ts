/** What an instance knows of configuration and targets, without the values. */
export type ViewVersion = {
	/** Version of the configuration; 0 while there is none. */
	readonly configuration: number;
	/** Revision of the registry at which the list of targets took its present content; 0 while there is none. */
	readonly listContent: number;
	/** Revision of the registry at which the list was last seen unchanged. */
	readonly listConfirmed: number;
	/** Time since that was seen, in ms. */
	readonly listAgeMs: number;
};
