import xxhash from 'xxhash-wasm';

const {h64ToString} = await xxhash();

/** Computes the xxHash64 digest of a text as 16 hexadecimal digits; it detects corruption and mix-ups, but not forgery. */
export const computeDigest = (text: string): string => h64ToString(text);
