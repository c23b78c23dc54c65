/** Part of an equal share that an instance keeps while callers are not sent to it: some use an address for seconds after it was left out. */
const idlePart = 0.25;

type EntryCounts = {
	/** Whether callers are sent to this instance. */
	readonly isEntry: boolean;
	/** Instances of the failure domain to which callers are sent. */
	readonly entryCount: number;
	/** All instances of the failure domain that serve callers. */
	readonly instanceCount: number;
};

/**
Computes the share of an instance in a limit of its failure domain, as a factor of an equal share; the factors of all instances average 1.
With equal shares, most of a limit is unused when callers are sent to few of many instances, and those few refuse retries and health checks.
*/
export const computeTrafficFactor = ({isEntry, entryCount, instanceCount}: EntryCounts): number => {
	if (entryCount === 0 || entryCount >= instanceCount) {
		return 1;
	}

	return isEntry ? idlePart + ((1 - idlePart) * instanceCount / entryCount) : idlePart;
};
