/**
Finds the first value of a header; undefined when it is absent.
@param rawHeaders - Alternating names and values, as received.
@param wanted - Header name in lower case.
*/
export const findHeader = (rawHeaders: readonly string[], wanted: string): string | undefined => {
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		if (name.length === wanted.length && name.toLowerCase() === wanted) {
			return rawHeaders[index + 1];
		}
	}

	return undefined;
};
