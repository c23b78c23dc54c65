/** Names one revision of a configuration value. */
export type RevisionRef = {
	readonly key: string;
	readonly revision: number;
	readonly digest: string;
	/** Characters of the value; undefined when the key was deleted at this revision. */
	readonly length?: number | undefined;
};
