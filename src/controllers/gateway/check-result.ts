/** Result of a check whether what is held has changed in the registry. */
export enum CheckResult {
	/** It has not changed. */
	Confirmed = 'confirmed',
	/** It has changed or may have, so it has to be read. */
	ReadDue = 'read-due',
	/** The registry could not be asked. */
	Failed = 'failed',
}
