import type {InstanceCandidate} from './instance-candidate.js';

/** Maximum share of the callers that one entry gets before callers are sent to other failure domains, as a multiple of the mean. */
const balanceFactor = 1.25;

type SortOptions = {
	/** Failure domain of the caller; undefined when it is not known. */
	readonly callerDomain: string | undefined;
	/** Number of failure domains from which callers come. */
	readonly domainCount: number;
	/** Number of the response; successive responses spread their callers over the entries. */
	readonly sequence: number;
};

const goldenRatio = 0.618_033_988_749_895;

const rotate = <T>(items: readonly T[], sequence: number): T[] => {
	const start = items.length === 0 ? 0 : sequence % items.length;
	return [...items.slice(start), ...items.slice(0, start)];
};

/** Sorts an entry set for one caller: its own failure domain first, as long as this keeps the load of the entries balanced. */
export const sortEntries = <T extends InstanceCandidate>(entries: readonly T[], options: SortOptions): T[] => {
	const localEntries = entries.filter(entry => entry.failureDomain === options.callerDomain);
	if (localEntries.length === 0) {
		return rotate(entries, options.sequence);
	}

	const remoteEntries = entries.filter(entry => entry.failureDomain !== options.callerDomain);
	const sharePerEntry = 1 / (options.domainCount * localEntries.length);
	const localShare = Math.min(1, balanceFactor / entries.length / sharePerEntry);
	// Multiples of the golden ratio fill the unit interval evenly without a random source.
	const position = (options.sequence * goldenRatio) % 1;
	const rotatedLocal = rotate(localEntries, options.sequence);
	const rotatedRemote = rotate(remoteEntries, options.sequence);
	return position < localShare ? [...rotatedLocal, ...rotatedRemote] : [...rotatedRemote, ...rotatedLocal];
};
