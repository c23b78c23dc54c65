type PermitSource = {
	/** Time until the target may be chosen, in ms. */
	readonly blockedMs: number;
	/** Time between two requests that the target may get, in ms; 0 for no limit. */
	readonly spacingMs: number;
};

/**
Computes the time after which a request can be sent to one of some targets, in ms, when others go before it; `Infinity` when no time is known.
@param aheadCount - Requests that go before it.
*/
export const computePermitWaitMs = (sources: readonly PermitSource[], aheadCount: number): number => {
	const unlimitedMs = Math.min(...sources.filter(({spacingMs}) => spacingMs === 0).map(({blockedMs}) => blockedMs));
	if (unlimitedMs === 0) {
		return 0;
	}

	const times = sources
		.filter(({blockedMs, spacingMs}) => spacingMs > 0 && Number.isFinite(blockedMs))
		.flatMap(({blockedMs, spacingMs}) => Number.isFinite(spacingMs)
			? Array.from({length: aheadCount + 1}, (_, index) => blockedMs + (index * spacingMs))
			: [blockedMs])
		.sort((a, b) => a - b);
	return Math.min(unlimitedMs, times[aheadCount] ?? Number.POSITIVE_INFINITY);
};
