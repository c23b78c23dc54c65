import {performance} from 'node:perf_hooks';
import type {Clock} from '../common/clock.js';

/** The monotonic clock of the process, in ms. */
export const systemClock: Clock = {
	now: () => performance.now(),
};
