import {describe, expect, it} from 'vitest';
import {computeClientLimits} from './compute-client-limits.js';

const settings = {
	cores: 1, memoryBytes: 250_000_000, targetChangeMs: 2000, configurationChangeMs: 2000, stopMs: 6000, retryRatio: 0.2, retrySlack: 64, retryWindowMs: 10_000, probesPerTargetPerSecond: 60,
};

// Guards against defaults that refuse a body of 64 MB on a small instance, or that exceed its limits.
describe('computeClientLimits', () => {
	it.each([
		['the smallest instance', {descriptors: 4100}, {memoryBytes: 76_000_000, connections: 2925, requestsPerConnection: 128}],
		['a large instance', {memoryBytes: 602_000_000, descriptors: 10_250}, {memoryBytes: 428_000_000, connections: 7537, requestsPerConnection: 128}],
		['unknown descriptors', {}, {memoryBytes: 76_000_000, connections: 2922, requestsPerConnection: 128}],
		['less memory than the program needs', {memoryBytes: 100_000_000}, {memoryBytes: 12_500_000, connections: 2922, requestsPerConnection: 128}],
		['fewer descriptors than files need', {descriptors: 100}, {memoryBytes: 76_000_000, connections: 1, requestsPerConnection: 128}],
		['limits of its own', {clients: {memoryBytes: 7, connections: 8, requestsPerConnection: 9}}, {memoryBytes: 7, connections: 8, requestsPerConnection: 9}],
	])('gives %s its limits', (_name, limits, expected) => {
		expect(computeClientLimits({...settings, ...limits})).toEqual(expected);
	});
});
