/** Writes events to the log as JSON, one per line. */
export type Logger = {
	/** Logs an event that requires action by an operator. */
	logError(event: string, fields?: Readonly<Record<string, unknown>>): void;
	/** Logs an event that is of interest to an operator. */
	logInfo(event: string, fields?: Readonly<Record<string, unknown>>): void;
	/** Logs details for debugging. */
	logDebug(event: string, fields?: Readonly<Record<string, unknown>>): void;
};
