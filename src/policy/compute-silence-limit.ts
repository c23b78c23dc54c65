/** Shortest silence after which an idempotent request leaves a reused connection, in ms. */
const minSilenceMs = 500;
/** Part of the time left that is waited where no longer answers are known. */
const usualDivisor = 4;
/** Least part of the time left that stays for the second dispatch. */
const latestDivisor = 2;
/** Answers of late that took this many times less are still expected. */
const longestFactor = 2;

/**
Computes how long an idempotent request waits without a byte on a connection that was used before.
A slow target and a silent connection look alike from here: the limit lies well above the answers of late, so that slow
work is not begun anew, and leaves time for a second dispatch.
@param timeLeftMs - Time to the deadline, in ms.
@param longestRecentMs - The longest time to an answer of late, in ms.
*/
export const computeSilenceLimit = (timeLeftMs: number, longestRecentMs: number): number => {
	const expectedMs = Math.max(minSilenceMs, timeLeftMs / usualDivisor, longestRecentMs * longestFactor);
	return Math.min(expectedMs, Math.max(minSilenceMs, timeLeftMs / latestDivisor));
};
