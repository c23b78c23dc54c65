import type {EntryCountState} from './entry-count-state.js';

/** Time for which fewer entries must do before the number is lowered, in ms. */
const holdMs = 30_000;

/**
Raises the number of entries at once and lowers it after a hold time. The hysteresis is in time alone, so that
instances with different histories agree again after the hold time.
*/
export const advanceEntryCount = (state: EntryCountState | undefined, wanted: number, now: number): EntryCountState => {
	if (state === undefined || wanted >= state.count) {
		return {count: wanted, lowerSince: undefined};
	}

	const lowerSince = state.lowerSince ?? now;
	return now - lowerSince >= holdMs ? {count: wanted, lowerSince: undefined} : {count: state.count, lowerSince};
};
