/** What an instance knows of configuration and targets, without the values. */
export type ViewVersion = {
	/** Version of the configuration; 0 while there is none. */
	readonly configuration: number;
	/** Time since the registry was seen to have no newer configuration, in ms. */
	readonly configurationAgeMs: number;
	/** Revision of the registry up to which the list of targets is complete; 0 while there is none. */
	readonly targets: number;
	/** Time since that was seen at the registry, in ms. */
	readonly targetsAgeMs: number;
};
