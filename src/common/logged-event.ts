/** An event as parsed from a log line. */
export type LoggedEvent = {
	readonly [field: string]: unknown;
	/** Timestamp in ISO 8601. */
	readonly time: string;
	readonly instance: string;
	readonly event: string;
};
