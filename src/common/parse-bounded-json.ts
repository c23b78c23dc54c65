/** Largest number of values in a JSON text; a list of 4,000 targets has 45,000. Parsed values take a multiple of their text in memory. */
const maxValues = 125_000;
/** Characters that precede a value: each value but the first of a list or an object follows a comma. */
const separators = [',', '[', '{'];

const countOccurrences = (text: string, character: string): number => {
	let count = 0;
	for (let index = text.indexOf(character); index !== -1; index = text.indexOf(character, index + 1)) {
		count++;
	}

	return count;
};

/**
Parses JSON that comes from outside the process.
@throws SyntaxError when the text is no JSON, or has too many values to be held.
*/
export const parseBoundedJson = (text: string): unknown => {
	let separatorCount = 0;
	for (const separator of separators) {
		separatorCount += countOccurrences(text, separator);
	}

	if (separatorCount > maxValues) {
		throw new SyntaxError(`the text has more than ${maxValues} values`);
	}

	return JSON.parse(text) as unknown;
};
