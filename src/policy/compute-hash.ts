import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Hash of a text as a 32-bit unsigned number, equal on every instance. */
export const computeHash = (text: string, seed = 0): number => h32(text, seed);
