type PermitSource = {
	/** Time until the target may be chosen, in ms; `Infinity` when no time is known. */
	readonly blockedMs: number;
	/** Time between two permits for the target, in ms; `Infinity` when this instance gets none. */
	readonly spacingMs: number;
	/** Time until the target is warm and needs no permits, in ms. */
	readonly warmUpLeftMs: number;
};

/**
Computes the time after which a request can be sent to one of some cold targets, in ms, when others go before it.
@param aheadCount - Requests that go before it.
*/
export const computePermitWaitMs = (sources: readonly PermitSource[], aheadCount: number): number => {
	const times = sources
		.filter(({blockedMs, spacingMs}) => Number.isFinite(blockedMs) && Number.isFinite(spacingMs))
		.flatMap(({blockedMs, spacingMs}) => Array.from({length: aheadCount + 1}, (_, index) => blockedMs + (index * spacingMs)))
		.sort((a, b) => a - b);
	return Math.min(...sources.map(({warmUpLeftMs}) => warmUpLeftMs), times[aheadCount] ?? Number.POSITIVE_INFINITY);
};
