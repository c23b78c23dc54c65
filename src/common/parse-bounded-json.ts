/** Largest number of values in a JSON text; a list of 4,000 targets has 45,000. Parsed values take a multiple of their text in memory. */
const maxValues = 125_000;
const separators = new Set([',', '[', '{'].map(character => character.codePointAt(0)));

/**
Parses JSON that comes from outside the process.
@throws SyntaxError when the text is no JSON, or has too many values to be held.
*/
export const parseBoundedJson = (text: string): unknown => {
	let separatorCount = 0;
	for (let index = 0; index < text.length; index++) {
		if (separators.has(text.codePointAt(index))) {
			separatorCount++;
		}
	}

	if (separatorCount > maxValues) {
		throw new SyntaxError(`the text has more than ${maxValues} values`);
	}

	return JSON.parse(text) as unknown;
};
