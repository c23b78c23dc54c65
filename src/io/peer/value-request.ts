/** Asks for the text of a revision from an offset on. */
export type ValueRequest = {
	readonly key: string;
	readonly revision: number;
	/** First character wanted. */
	readonly offset: number;
};
