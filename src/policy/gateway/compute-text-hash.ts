const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;
const finalFactor = 0x85_EB_CA_6B;

/** Computes the 32-bit FNV-1a hash of a string, with a final mixing step that spreads strings that differ in their last characters only. A WebAssembly library would cost each process memory and start-up time. */
export const computeTextHash = (text: string): number => {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), prime); // eslint-disable-line unicorn/prefer-code-point, no-bitwise
	}

	hash = Math.imul(hash ^ (hash >>> 16), finalFactor); // eslint-disable-line no-bitwise
	return (hash ^ (hash >>> 13)) >>> 0; // eslint-disable-line no-bitwise
};
