/** Largest number of values in a JSON text; a list of 4,000 targets has 45,000. Parsed values take a multiple of their text in memory. */
const maxValues = 125_000;
const comma = 0x2C;
const openingBracket = 0x5B;
const openingBrace = 0x7B;

/**
Parses JSON that comes from outside the process.
@throws SyntaxError when the text is no JSON, or has too many values to be held.
*/
export const parseBoundedJson = (text: string): unknown => {
	let separatorCount = 0;
	for (let index = 0; index < text.length; index++) {
		const code = text.codePointAt(index);
		if (code === comma || code === openingBracket || code === openingBrace) {
			separatorCount++;
		}
	}

	if (separatorCount > maxValues) {
		throw new SyntaxError(`the text has more than ${maxValues} values`);
	}

	return JSON.parse(text) as unknown;
};
