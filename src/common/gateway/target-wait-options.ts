/** How to wait for changes of the targets. */
export type TargetWaitOptions = {
	/** Revision after which changes are awaited; unless given, that of the last read or wait. */
	readonly since?: number;
	/** Era in which the revision was given; changes of another one are incomplete and fail as lost history. Not compared unless given. */
	readonly era?: number;
	/** Maximum wait, in ms; unless given, that of the registry. */
	readonly maxWaitMs?: number;
};
