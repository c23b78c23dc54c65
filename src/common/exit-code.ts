/** Exit codes of the programs. */
export enum ExitCode {
	Success = 0,
	/** The work was done and found something wrong. */
	Failure = 1,
	/** The command line or the settings are wrong. */
	Usage = 2,
	/** Something that the program needs could not be reached. */
	Unavailable = 3,
}
