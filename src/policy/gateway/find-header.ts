/**
Finds the first value of a header.
@param rawHeaders - Names and values in turn, as received.
@param wanted - Name in lower case.
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
