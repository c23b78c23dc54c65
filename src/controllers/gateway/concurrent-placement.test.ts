import {describe, expect, it} from 'vitest';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {ServiceAdmission} from './service-admission.js';
import {ServicePlacer} from './service-placer.js';
import type {TargetLease} from './target-lease.js';
import {TargetPool} from './target-pool.js';
import type {TargetProber} from './target-prober.js';

const clock = {now: () => 10_000};
const service = {
	name: 's', healthPath: '/health', connectionsPerTarget: 10, warmUpPerSecond: 2,
};

/** Places requests that arrive at the same time at targets without load, and returns the leases in their order. */
const placeTogether = async (ids: readonly string[], {warmUpLeftMs, slots, requests}: {warmUpLeftMs: number; slots: number; requests: number}): Promise<TargetLease[]> => {
	const report = {
		load: {
			running: 0, waiting: 0, slots, slowdown: 1,
		}, isLeaving: false, pauseMs: 0,
	};
	const prober = {probe: async (_client: unknown, _path: string, targetId: string) => ({isHealthy: true, targetId, report})};
	const pool = new TargetPool({
		service, instanceId: 'e-1', failureDomain: 'a', clock, random: () => 0, prober: prober as unknown as TargetProber, logger: silentLogger, metrics: disabledMetrics,
		getMaxConnections: () => 2, maxResponseBytes: 1000, getProbeRate: () => 1000, onRelease: () => undefined, onLeaving: () => undefined,
		coldTargetOwners: {computeUnsettledMs: () => 0, findShare: () => ({spacingMs: 1000, since: 0})},
	});
	pool.update(ids.map(id => ({
		...gatewayTarget, id, slots, warmUpLeftMs,
	})));
	const placer = new ServicePlacer({
		pool, admission: new ServiceAdmission(() => 0), clock, logger: silentLogger, metrics: disabledMetrics,
	});
	const leases: TargetLease[] = [];
	const abort = new AbortController();
	const place = async () => {
		const result = await placer.acquire({
			service: 's', priority: 0, objectiveAt: 11_000, deadlineAt: 20_000, excludedTargets: [], bodyBytes: 0, signal: abort.signal,
		});
		result.map(lease => leases.push(lease));
	};

	for (let count = 0; count < requests; count++) {
		void place();
	}

	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	abort.abort();
	placer.dispose();
	pool.dispose();
	return leases;
};

// Guards against requests that await the same probes and are then all sent to the target that was best for each.
describe('requests that are placed at the same time', () => {
	it.each([
		{
			name: 'share the permit of a cold target', ids: ['i-1'], options: {warmUpLeftMs: 20_000, slots: 4, requests: 3}, expected: ['i-1'],
		},
		{
			name: 'take idle targets before a second slot of one', ids: ['i-1', 'i-2'], options: {warmUpLeftMs: 0, slots: 2, requests: 2}, expected: ['i-1', 'i-2'],
		},
		{
			name: 'do not take more slots than there are', ids: ['i-1'], options: {warmUpLeftMs: 0, slots: 1, requests: 3}, expected: ['i-1'],
		},
	])('$name', async ({ids, options, expected}) => {
		const leases = await placeTogether(ids, options);
		expect(leases.map(({target}) => target.id).sort()).toEqual(expected);
		expect(leases.every(lease => lease.canSend())).toBe(true);
	});
});
