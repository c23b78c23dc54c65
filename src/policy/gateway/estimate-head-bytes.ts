/** Heap that a request takes beside its header fields, in bytes: request, response and state of the filters. */
const requestBytes = 6000;
/** Heap that a header field takes beside its characters, in bytes: two strings and their places in the list and the table of headers. */
const fieldBytes = 150;

/** Estimates the heap that the head of a request takes, in bytes, from its alternating names and values. Short fields take over ten times their size. */
export const estimateHeadBytes = (rawHeaders: readonly string[]): number => {
	const characters = rawHeaders.reduce((sum, {length}) => sum + length, 0);
	return requestBytes + (rawHeaders.length / 2 * fieldBytes) + characters;
};
