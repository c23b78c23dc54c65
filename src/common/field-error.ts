/** Validation error of one field. */
export type FieldError = {
	/** Path of the field, such as `rules[2].deadlineMs`. */
	readonly field: string;
	/** The invalid value as JSON, truncated. */
	readonly value: string;
	/** What is allowed. */
	readonly message: string;
};
