type EntryCountLimits = {
	/** Load that one entry carries, in target slots. */
	readonly loadPerEntry: number;
	/** Maximum number of entries of a service. */
	readonly maxEntries: number;
};

/**
Computes the smallest number of entries that carries a load after the loss of one failure domain, or of one entry where
there is only one domain.
@param load - Load in target slots.
*/
export const computeEntryCount = (load: number, domainCount: number, limits: EntryCountLimits): number => {
	const needed = Math.max(1, Math.ceil(load / limits.loadPerEntry));
	if (domainCount <= 1) {
		return Math.min(limits.maxEntries, needed + 1);
	}

	let count = needed + 1;
	while (count - Math.ceil(count / domainCount) < needed) {
		count++;
	}

	return Math.min(limits.maxEntries, count);
};
