import type {ResponseHold} from '../../src/policy/gateway/response-hold.js';
import {ResponseMemory} from '../../src/policy/gateway/response-memory.js';

/** Creates the hold of a response that may take any amount of memory. */
export const createUnlimitedHold = (): ResponseHold => new ResponseMemory({getLimitBytes: () => Number.POSITIVE_INFINITY, clock: {now: () => 0}, onEvicted: () => undefined}).createHold();
