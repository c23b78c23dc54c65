import type {EntryCountState} from './entry-count-state.js';

/** Time for which fewer entries must suffice before the number is lowered. */
const scaleDownDelayMs = 30_000;

/**
Raises the number of entries at once and lowers it after a delay. The hysteresis depends on time alone, so that
instances with different histories agree again after the delay.
*/
export const advanceEntryCount = (state: EntryCountState | undefined, desiredCount: number, now: number): EntryCountState => {
	if (state === undefined || desiredCount >= state.count) {
		return {count: desiredCount, lowerSince: undefined};
	}

	const lowerSince = state.lowerSince ?? now;
	return now - lowerSince >= scaleDownDelayMs ? {count: desiredCount, lowerSince: undefined} : {count: state.count, lowerSince};
};
