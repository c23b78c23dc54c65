/** Writes one event as one JSON line. */
export type Logger = {
	/** Something an operator should act on. */
	logError(event: string, fields?: Readonly<Record<string, unknown>>): void;
	/** Something an operator should know. */
	logInfo(event: string, fields?: Readonly<Record<string, unknown>>): void;
	/** Detail for the maintainers. */
	logDebug(event: string, fields?: Readonly<Record<string, unknown>>): void;
};
