/** Request for the text of a revision, starting at an offset. */
export type ValueRequest = {
	readonly key: string;
	readonly revision: number;
	/** Position of the first requested character. */
	readonly offset: number;
};
