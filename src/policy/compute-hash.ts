import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Computes the xxHash32 hash of a text as a 32-bit unsigned integer, equal on every instance. */
export const computeHash = (text: string, seed = 0): number => h32(text, seed);
