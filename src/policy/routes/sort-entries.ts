import type {EntryCandidate} from './entry-candidate.js';

/** Share of the callers that one entry may get before callers are sent past their own domain, as a multiple of the mean. */
const levelFactor = 1.25;

type SortOptions = {
	/** Failure domain of the caller; undefined when it is not known. */
	readonly callerDomain: string | undefined;
	/** Number of failure domains from which callers come. */
	readonly domainCount: number;
	/** Number of the answer; successive answers spread their callers. */
	readonly sequence: number;
};

const goldenRatio = 0.618_033_988_749_895;

const rotate = <T>(items: readonly T[], sequence: number): T[] => {
	const start = items.length === 0 ? 0 : sequence % items.length;
	return [...items.slice(start), ...items.slice(0, start)];
};

/** Sorts an entry set for one caller: its own failure domain first, as long as this keeps the entries level. */
export const sortEntries = <T extends EntryCandidate>(entries: readonly T[], options: SortOptions): T[] => {
	const near = entries.filter(entry => entry.failureDomain === options.callerDomain);
	if (near.length === 0) {
		return rotate(entries, options.sequence);
	}

	const far = entries.filter(entry => entry.failureDomain !== options.callerDomain);
	const sharePerEntry = 1 / (options.domainCount * near.length);
	const keptShare = Math.min(1, levelFactor / entries.length / sharePerEntry);
	// Multiples of the golden ratio fill the unit interval evenly without a random source.
	const position = (options.sequence * goldenRatio) % 1;
	const rotatedNear = rotate(near, options.sequence);
	const rotatedFar = rotate(far, options.sequence);
	return position < keptShare ? [...rotatedNear, ...rotatedFar] : [...rotatedFar, ...rotatedNear];
};
