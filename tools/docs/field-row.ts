/** One schema field, as a row of a generated documentation table. */
export type FieldRow = {
	/** Dotted path; `[]` marks list items and `.<name>` the values of a map. */
	readonly path: string;
	readonly type: string;
	/** Default as JSON in backquotes, or `required`, or `absent` for an optional field without one. */
	readonly default: string;
	readonly description: string;
};
