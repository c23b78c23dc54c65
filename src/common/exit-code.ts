/** Exit codes of the command line programs. */
export enum ExitCode {
	Success = 0,
	/** The program ran and found a problem. */
	Failure = 1,
	/** The command line or the settings are invalid. */
	Usage = 2,
	/** A required service could not be reached. */
	Unavailable = 3,
}
