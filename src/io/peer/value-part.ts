/** A part of the text of a revision. */
export type ValuePart = {
	readonly key: string;
	readonly revision: number;
	/** First character of the part. */
	readonly offset: number;
	readonly text: string;
};
