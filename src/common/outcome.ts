/** What is known about whether a request ran at a target. */
export enum Outcome {
	NotRun = 'not run',
	Ran = 'ran',
	Unknown = 'unknown',
}
