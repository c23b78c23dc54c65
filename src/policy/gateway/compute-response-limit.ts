/** Responses may take the memory limit divided by this in all, and divided by the second in any case, so that requests that were run get their responses. */
const maxDivisor = 8;
const minDivisor = 32;

/**
Computes the memory that the buffered responses of targets may take together, in bytes.
@param memoryBytes - Memory limit of the instance.
@param availableBytes - Memory that the responses hold and that clients have left.
*/
export const computeResponseLimit = (memoryBytes: number, availableBytes: number): number =>
	Math.min(memoryBytes / maxDivisor, Math.max(memoryBytes / minDivisor, availableBytes));
