/** A value that was refused: where it stands, what it is and what is allowed. */
export type FieldError = {
	/** Path of the field, such as `rules[2].deadlineMs`. */
	readonly field: string;
	/** The refused value as JSON, shortened. */
	readonly value: string;
	/** What is allowed. */
	readonly message: string;
};
