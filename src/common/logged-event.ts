/** One line of a log. */
export type LoggedEvent = {
	readonly [field: string]: unknown;
	/** Time in ISO 8601. */
	readonly time: string;
	readonly instance: string;
	readonly event: string;
};
