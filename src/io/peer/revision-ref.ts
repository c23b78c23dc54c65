/** Identifies one revision of a configuration value. */
export type RevisionRef = {
	readonly key: string;
	readonly revision: number;
	readonly digest: string;
	/** Length of the value in characters; undefined if the key was deleted at this revision. */
	readonly length?: number | undefined;
};
