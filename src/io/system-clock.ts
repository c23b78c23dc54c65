import {performance} from 'node:perf_hooks';
import type {Clock} from '../common/clock.js';

/** The process's monotonic clock. */
export const systemClock: Clock = {
	now: () => performance.now(),
};
