/** What a caller was told about one request. */
export enum CallOutcome {
	/** The whole answer of a target with a status below 500. */
	Whole = 'whole',
	/** The whole answer of a target with a status of 500 or more. */
	TargetError = 'target error',
	/** The system said that the request did not run. */
	NotRun = 'not run',
	/** The system said that the request ran. */
	Ran = 'ran',
	/** The system said that the outcome is not known. */
	Unknown = 'unknown',
	/** The answer was that of another request. */
	Mixed = 'mixed',
	/** No whole answer came: no connection, a cut answer, or nothing within the caller's patience. */
	NoAnswer = 'no answer',
}
