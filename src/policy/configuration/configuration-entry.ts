/** One revision of a configuration value. */
export type ConfigurationEntry = {
	/** Key below the prefix, such as `templates/catalogue`. */
	readonly key: string;
	/** Index of the configuration service at the last change of the value. */
	readonly revision: number;
	/** Value as text; undefined when the key was deleted at this revision. */
	readonly text: string | undefined;
	readonly digest: string;
};
