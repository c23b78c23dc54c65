/** One field of a schema, as a row of a page. */
export type FieldRow = {
	readonly path: string;
	readonly type: string;
	/** Default as JSON, or `required`, or `absent`. */
	readonly default: string;
	readonly description: string;
};
