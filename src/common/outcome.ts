/** Whether a request ran at a target, as far as known. */
export enum Outcome {
	NotRun = 'not run',
	Ran = 'ran',
	Unknown = 'unknown',
}
