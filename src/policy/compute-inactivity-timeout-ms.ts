/** Minimum inactivity timeout, in ms. */
const minTimeoutMs = 500;
/** Divisor of the time left, for the timeout when recent response times are short or unknown. */
const defaultDivisor = 4;
/** Divisor of the time left, for the maximum timeout; the rest of the time remains for the second attempt. */
const maxTimeoutDivisor = 2;
/** Factor by which the timeout exceeds the longest recent response time. */
const peakFactor = 2;

/**
Computes the inactivity timeout of an idempotent request on a reused connection, in ms.
A slow target cannot be distinguished from a dead connection. The timeout is therefore well above the recent response
times, so that slow work is not started again, and leaves time for a second attempt.
@param timeLeftMs - Time to the deadline, in ms.
@param longestRecentMs - Longest recent response time, in ms.
*/
export const computeInactivityTimeoutMs = (timeLeftMs: number, longestRecentMs: number): number => {
	const expectedMs = Math.max(minTimeoutMs, timeLeftMs / defaultDivisor, longestRecentMs * peakFactor);
	return Math.min(expectedMs, Math.max(minTimeoutMs, timeLeftMs / maxTimeoutDivisor));
};
