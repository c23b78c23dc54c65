import {setTimeout as sleep} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import type {SiteRegistry} from '../../common/gateway/site-registry.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {SiteView} from './site-view.js';
import {RegistryReader} from './registry-reader.js';

const limits = {
	headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
};

describe('RegistryReader', () => {
	it('collects changes of targets that follow each other, instead of calling the registry for each', async () => {
		let callCount = 0;
		const source: SiteRegistry = {
			readConfiguration: async () => Promise.race([]),
			readEvacuations: async () => Promise.race([]),
			checkEvacuations: async () => ok(undefined),
			waitForChange: async () => Promise.race([]),
			readTargets: async () => ok({revision: 1, targets: [gatewayTarget]}),
			async waitForTargetChanges() {
				callCount++;
				return ok({
					since: callCount, revision: callCount + 1, changed: [{...gatewayTarget, id: `n-${callCount}`, revision: callCount + 1}], removed: [],
				});
			},
		};
		const clock = {now: () => performance.now()};
		const view = new SiteView({clock, logger: silentLogger});
		reader = new RegistryReader({
			source, view, logger: silentLogger, metrics: disabledMetrics, clock, isReader: () => true, isStandbyReader: () => false, isJoined: () => true, onRead: () => undefined, random: () => 0, waitsForPeers: false, targetChangeMs: 2000, configurationChangeMs: 2000,
		});
		void reader.start();
		await sleep(1200);
		expect(callCount).toBeGreaterThan(0);
		expect(callCount).toBeLessThanOrEqual(3);
		expect(view.targets).toHaveLength(1 + callCount);
	});

	let reader: RegistryReader | undefined;

	afterEach(() => {
		reader?.dispose();
	});

	it.each([
		['while it reads for itself', 1000],
		['that is noticed just after peers have sent a fresh list', 60_000],
	])('reads a change of the configuration %s', async (_name, elapsedMs) => {
		let now = 0;
		let version = 1;
		let notifyChange: (() => void) | undefined;
		const clock = {now: () => now};
		const source: SiteRegistry = {
			readConfiguration: async () => ok({
				version, routes: [], services: [], limits,
			} satisfies GatewayConfiguration),
			readEvacuations: async () => Promise.race([]),
			checkEvacuations: async () => ok(undefined),
			waitForChange: async () => new Promise(resolve => {
				notifyChange = () => {
					resolve(ok({hasConfiguration: true, hasEvacuations: false, upTo: {era: 0, revision: 1}}));
				};
			}),
			waitForTargetChanges: async () => Promise.race([]),
			readTargets: async () => ok({revision: 1, targets: [gatewayTarget]}),
		};
		const view = new SiteView({clock, logger: silentLogger});
		view.offerConfiguration({
			version: 1, routes: [], services: [], limits,
		}, 0);
		view.offerTargets({revision: 1, targets: [gatewayTarget]}, 0);
		now = 5000;
		reader = new RegistryReader({
			source, view, logger: silentLogger, metrics: disabledMetrics, clock, isReader: () => false, isStandbyReader: () => true, isJoined: () => true, onRead: () => undefined, random: () => 0, waitsForPeers: false, targetChangeMs: 2000, configurationChangeMs: 2000,
		});
		void reader.start();
		await vi.waitFor(() => {
			expect(notifyChange).toBeDefined();
		});
		now += elapsedMs;
		view.offerTargets({revision: 2, targets: [gatewayTarget]}, 0);
		version = 2;
		notifyChange?.();
		await vi.waitFor(() => {
			expect(view.configuration?.version).toBe(2);
		});
	});
});
