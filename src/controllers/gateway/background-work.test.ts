import {ok} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {RecordingLog} from '../../../test/support/recording-log.js';
import {throwOnce} from '../../../test/support/throw-once.js';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import type {SiteRegistry} from '../../common/gateway/site-registry.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import {MemberController} from './member-controller.js';
import {RegistryReader} from './registry-reader.js';
import {ServiceAdmission} from './service-admission.js';
import {ServicePlacer} from './service-placer.js';
import {SiteView} from './site-view.js';
import {StateReporter} from './state-reporter.js';
import type {TargetChoice} from './target-choice.js';
import type {TargetLease} from './target-lease.js';
import {TargetPool} from './target-pool.js';
import type {TargetProber} from './target-prober.js';

// Fake timers do not cover the promises of this module.
vi.mock('node:timers/promises', () => ({
	setTimeout: async (ms: number) => new Promise(resolve => {
		setTimeout(resolve, ms);
	}),
	setImmediate: async () => new Promise(resolve => {
		setImmediate(resolve);
	}),
}));

type Methods<Key extends string> = Record<Key, (...parts: never[]) => unknown>;
type MemberClient = ConstructorParameters<typeof MemberController>[0]['client'];

const clock = {now: () => Date.now()};
const random = () => 0.5;
const configuration: GatewayConfiguration = {
	version: 3, routes: [], services: [], limits: {
		headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
	},
};

// Guards against an exception in work that nobody waits for, which would end the process, or end a loop for good.
describe('an exception in background work', () => {
	let log = new RecordingLog();
	let disposables: Array<{dispose(): void}> = [];

	const add = <T extends {dispose(): void}>(item: T): T => {
		disposables.push(item);
		return item;
	};

	beforeEach(() => {
		vi.useFakeTimers();
		log = new RecordingLog();
	});

	afterEach(() => {
		for (const item of disposables) {
			item.dispose();
		}

		disposables = [];
		vi.useRealTimers();
	});

	const createMember = (id: string, client: MemberClient, memberLog: RecordingLog) => {
		const {logger, metrics} = memberLog;
		const view = add(new SiteView({clock, logger}));
		return {
			view, client, members: add(new MemberController({
				self: {
					id, failureDomain: 'a', dataAddress: `${id}:1`, peerAddress: id, cores: 1, incarnation: 1,
				}, seeds: ['a-1'], client, view, clock, random, logger, metrics,
			})),
		};
	};

	/** Two instances; calls of the second reach the first one. */
	const createPair = () => {
		const silent: MemberClient = {timeoutMs: 400, exchange: async () => Promise.race([]), fetchConfiguration: async () => Promise.race([])};
		const peer = createMember('a-1', silent, new RecordingLog());
		peer.view.offerConfiguration(configuration, 0);
		peer.view.offerTargets({revision: 7, targets: [gatewayTarget]}, 0);
		const own = createMember('a-2', {
			timeoutMs: 400,
			exchange: async (_address: string, message: SyncMessage) => ok(peer.members.handleMessage(message)),
			fetchConfiguration: async () => ok(peer.members.getConfiguration()),
		}, log);
		return {peer, own};
	};

	it.each([
		{task: 'member-rejoin', method: 'exchange', get: ({own}: ReturnType<typeof createPair>): unknown => own.client},
		{task: 'member-rejoin', method: 'offerPeerView', get: ({own}: ReturnType<typeof createPair>): unknown => own.view},
		{task: 'member-rejoin', method: 'noteLeaving', get: ({own}: ReturnType<typeof createPair>): unknown => own.view},
		{task: 'configuration-fetch', method: 'fetchConfiguration', get: ({own}: ReturnType<typeof createPair>): unknown => own.client},
		{task: 'configuration-fetch', method: 'offerConfiguration', get: ({own}: ReturnType<typeof createPair>): unknown => own.view},
	])('of $method ends only that task ($task), and the next round learns all', async ({task, method, get}) => {
		const pair = createPair();
		throwOnce(get(pair) as Methods<string>, method);
		pair.own.members.start();
		await vi.advanceTimersByTimeAsync(3000);
		expect(pair.own.view.version).toMatchObject({configuration: 3, targets: 7});
		expect(pair.own.members.listRunning()).toHaveLength(2);
		expect(log.listFailures()).toEqual([{task, detail: `no ${method}`, count: 1}]);
	});

	it('of an exchange with a known member ends only that exchange, and the member is heard of again', async () => {
		const {own, peer} = createPair();
		own.members.start();
		await vi.advanceTimersByTimeAsync(1000);
		throwOnce(own.client as unknown as Methods<'exchange'>, 'exchange');
		await vi.advanceTimersByTimeAsync(2000);
		peer.view.offerTargets({revision: 8, targets: []}, 0);
		await vi.advanceTimersByTimeAsync(2000);
		expect(own.view.version.targets).toBe(8);
		expect(log.listFailures()).toEqual([{task: 'member-exchange', detail: 'no exchange', count: 1}]);
	});

	it('of the choice of an address to rejoin by ends only that round', async () => {
		const {own} = createPair();
		throwOnce(own.members as unknown as Methods<'_pickRejoinAddresses'>, '_pickRejoinAddresses');
		own.members.start();
		await vi.advanceTimersByTimeAsync(3000);
		expect(own.members.listRunning()).toHaveLength(2);
		expect(log.listFailures()).toEqual([{task: 'member-round', detail: 'no _pickRejoinAddresses', count: 1}]);
	});

	it('of a notification ends only that notification', async () => {
		const {own, peer} = createPair();
		own.members.start();
		await vi.advanceTimersByTimeAsync(1000);
		throwOnce(own.members as unknown as Methods<'_isBehind'>, '_isBehind');
		own.members.setServing(true);
		await vi.advanceTimersByTimeAsync(2000);
		expect(peer.members.listServing('a').map(({id}) => id)).toEqual(['a-2']);
		expect(log.listFailures()).toEqual([{task: 'member-notification', detail: 'no _isBehind', count: 1}]);
	});

	it.each([
		{task: 'registry-targets', method: 'readTargets', isOfView: false},
		{task: 'registry-targets', method: 'waitForTargetChanges', isOfView: false},
		{task: 'registry-targets', method: 'offerTargets', isOfView: true},
		{task: 'registry-targets', method: 'offerTargetEvents', isOfView: true},
		{task: 'registry-configuration', method: 'readConfiguration', isOfView: false},
		{task: 'registry-configuration', method: 'waitForChange', isOfView: false},
		{task: 'registry-configuration', method: 'offerConfiguration', isOfView: true},
	])('of $method does not end the loop ($task)', async ({task, method, isOfView}) => {
		const {logger, metrics} = log;
		const view = add(new SiteView({clock, logger}));
		let revision = 1;
		const source: SiteRegistry = {
			readConfiguration: async () => ok({...configuration, version: revision}),
			readEvacuations: async () => Promise.race([]),
			checkEvacuations: async () => ok(undefined),
			waitForChange: async () => new Promise(resolve => {
				setTimeout(() => {
					resolve(ok({hasConfiguration: true, hasEvacuations: false, upTo: {era: 0, revision: 1}}));
				}, 500);
			}),
			readTargets: async () => ok({revision, targets: [gatewayTarget]}),
			waitForTargetChanges: async () => new Promise(resolve => {
				const since = revision;
				setTimeout(() => {
					revision++;
					resolve(ok({
						since, revision, changed: [], removed: [],
					}));
				}, 500);
			}),
		};
		const reader = add(new RegistryReader({
			source, view, logger, metrics, clock, random, isReader: () => true, isStandbyReader: () => false, isJoined: () => true, onRead: () => undefined, waitsForPeers: false, targetChangeMs: 2000, configurationChangeMs: 2000,
		}));
		throwOnce((isOfView ? view : source) as unknown as Methods<string>, method);
		void reader.start();
		await vi.advanceTimersByTimeAsync(8000);
		const {version} = view;
		await vi.advanceTimersByTimeAsync(4000);
		expect(view.version.targets).toBeGreaterThan(version.targets);
		expect(view.version.configuration).toBeGreaterThan(version.configuration);
		expect(log.listFailures()).toEqual([{task, detail: `no ${method}`, count: 1}]);
	});

	it('of a report of the state ends only that report', async () => {
		const {logger, metrics} = log;
		const options = {countInstances: () => 3};
		throwOnce(options, 'countInstances');
		const reporter = add(new StateReporter({
			...options, view: add(new SiteView({clock, logger})), logger, metrics, clock, countPeerBytes: () => 0,
		}));
		reporter.start();
		await vi.advanceTimersByTimeAsync(10_000);
		expect(log.lines.filter(({event}) => event === 'gateway-state')).toHaveLength(1);
		expect(log.listFailures()).toEqual([{task: 'state-report', detail: 'no countInstances', count: 1}]);
	});

	it('of a probe ends only that probe, and the target is probed again', async () => {
		const {logger, metrics} = log;
		const prober = {
			probe: async () => ({
				isHealthy: true, targetId: gatewayTarget.id, report: {
					load: {
						running: 0, waiting: 0, slots: 6, slowdown: 1,
					}, isLeaving: false, pauseMs: 0,
				},
			}),
		};
		throwOnce(prober, 'probe');
		const pool = add(new TargetPool({
			service: {name: 's', healthPath: '/health', connectionsPerTarget: 10}, instanceId: 'e-1', failureDomain: 'a', clock, random, prober: prober as unknown as TargetProber, logger, metrics,
			getMaxConnections: () => 2, maxResponseBytes: 1000, getProbeRate: () => 1000, onRelease: () => undefined, onLeaving: () => undefined,
		}));
		pool.update([{...gatewayTarget, slots: 6, warmUpLeftMs: 0}]);
		const criteria = {excludedTargets: [], bodyBytes: 0};
		const choices = [];
		for (let round = 0; round < 2; round++) {
			const choice = pool.chooseWithProbes(criteria);
			await vi.advanceTimersByTimeAsync(100);
			choices.push(await choice);
		}

		expect(choices[1]?.isIdle).toBe(true);
		expect(log.listFailures()).toEqual([{task: 'target-probe', detail: 'no probe', count: 1}]);
	});

	it.each([
		{task: 'placement-probes', method: 'chooseWithProbes'},
		{task: 'placement', method: 'chooseFromReports'},
		{task: 'placement', method: 'grant'},
	])('of $method refuses the request that it was for, and no other', async ({task, method}) => {
		const {logger, metrics} = log;
		const choice = {estimateMs: 1, hasFreeSlot: true, isIdle: true} as unknown as TargetChoice;
		const isByReport = method === 'grant';
		const pool = {
			serviceTimes: {usualMs: 1, meanMs: 1}, inFlight: 1, size: 1, isExhausted: () => false, computePauseMs: () => 0, computePermitWaitMs: () => 0,
			chooseFromReports: () => isByReport ? choice : undefined,
			chooseWithProbes: async () => choice,
			confirmChoice: () => choice,
			grant: () => ({target: {id: 'i-1'}} as unknown as TargetLease),
		};
		throwOnce(pool as unknown as Methods<string>, method);
		const placer = add(new ServicePlacer({
			pool: pool as unknown as TargetPool, admission: new ServiceAdmission(() => 0), clock, logger, metrics,
		}));
		const ends = [];
		for (let count = 0; count < 6; count++) {
			const acquired = placer.acquire({
				service: 's', priority: 1, objectiveAt: Date.now() + 400, deadlineAt: Date.now() + 3000, excludedTargets: [], bodyBytes: 0, signal: new AbortController().signal,
			});
			await vi.advanceTimersByTimeAsync(50);
			const end = await acquired;
			ends.push(end.match(({target}) => target.id, ({kind}) => kind));
		}

		expect(ends).toEqual(['internal-queued', 'i-1', 'i-1', 'i-1', 'i-1', 'i-1']);
		expect(log.listFailures()).toEqual([{task, detail: `no ${method}`, count: 1}]);
	});
});
