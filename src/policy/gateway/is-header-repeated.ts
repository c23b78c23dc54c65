/**
Decides whether a header occurs more than once.
@param rawHeaders - Alternating names and values, as received.
@param wanted - Header name in lower case.
*/
export const isHeaderRepeated = (rawHeaders: readonly string[], wanted: string): boolean => {
	let count = 0;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		if (name.length === wanted.length && name.toLowerCase() === wanted) {
			count++;
		}
	}

	return count > 1;
};
