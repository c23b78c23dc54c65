/** A part of the text of a revision. */
export type ValuePart = {
	readonly key: string;
	readonly revision: number;
	/** Position of the part's first character in the text. */
	readonly offset: number;
	readonly text: string;
};
