import xxhash from 'xxhash-wasm';

const {h64ToString} = await xxhash();

/** Digest of a text as 16 hexadecimal digits; it finds damage and mix-ups, not forgery. */
export const computeDigest = (text: string): string => h64ToString(text);
