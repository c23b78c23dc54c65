import {validateHeaderName, validateHeaderValue} from 'node:http';

/**
Finds a header that cannot be passed on. The parser of Node.js accepts more than its writer does.
@param rawHeaders - Alternating names and values, as received.
@returns What is wrong with the first such header; undefined when all are valid.
*/
export const findInvalidHeader = (rawHeaders: readonly string[]): string | undefined => {
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		try {
			validateHeaderName(name);
			validateHeaderValue(name, rawHeaders[index + 1] ?? '');
		} catch (error) {
			return (error as Error).message;
		}
	}

	return undefined;
};
