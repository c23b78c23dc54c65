import {describe, expect, it} from 'vitest';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {ErrorKind} from '../../common/error-kind.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import {PlacementStep} from '../../common/gateway/placement-step.js';
import type {TargetLoad} from '../../common/gateway/target-load.js';
import type {TargetClient} from '../../io/gateway/target-client.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {createEvacuationGuard} from '../../policy/gateway/create-evacuation-guard.js';
import {RateLimiter} from '../../policy/gateway/rate-limiter.js';
import {TargetRecord} from '../../policy/gateway/target-record.js';
import {ColdTargets} from './cold-targets.js';
import {explainService} from './explain-service.js';
import type {PooledTarget} from './pooled-target.js';
import {ServiceAdmission} from './service-admission.js';
import {TargetAvailability} from './target-availability.js';
import {TargetPreview} from './target-preview.js';
import {TargetRater} from './target-rater.js';

type Prepare = (parts: {readonly pooledTarget: PooledTarget; readonly rater: TargetRater; readonly availability: TargetAvailability}) => void;
/** Each target has an id that begins with its failure domain, and possibly a warm-up time. */
type Targets = ReadonlyArray<readonly [id: string, prepare: Prepare, warmUpLeftMs?: number]>;
type Conditions = {readonly probeRate?: number; readonly queueMs?: number; readonly scarcePriority?: number};

const now = 10_000;
const clock = {now: () => now};
const share = {spacingMs: 500, since: 0};

const report = (load: Partial<TargetLoad>, ageMs = 1): Prepare => ({pooledTarget, rater}) => {
	rater.recordReport(pooledTarget.record, {
		running: 0, waiting: 0, slots: 4, slowdown: 1, ...load,
	}, now - ageMs);
};

const explain = (targets: Targets, {probeRate = 10, queueMs = 0, scarcePriority}: Conditions) => {
	const rater = new TargetRater('a');
	const coldTargets = new ColdTargets({
		coldTargetOwners: {computeUnsettledMs: () => 0, findShare: id => id === 'a-owned' ? share : undefined}, clock, logger: silentLogger, metrics: disabledMetrics,
	}, () => ({
		name: 's', healthPath: '/', connectionsPerTarget: 1, warmUpPerSecond: 2,
	}));
	const availability = new TargetAvailability([createEvacuationGuard(domain => domain === 'x'), ...coldTargets.guards]);
	const pooledTargets = targets.map(([id, prepare, warmUpLeftMs = 0]) => {
		const record = new TargetRecord({
			...gatewayTarget, id, slots: 4, warmUpLeftMs, failureDomain: id.slice(0, 1),
		}, now);
		const pooledTarget: PooledTarget = {
			record, client: {hasIdleConnection: false} as unknown as TargetClient, key: id, preference: 0, isRemoved: false, pendingProbe: undefined,
		};
		prepare({pooledTarget, rater, availability});
		return pooledTarget;
	});
	const admission = new ServiceAdmission(() => 0);
	admission.setPriorities(scarcePriority === undefined ? [] : [{priority: 0, objectiveMs: 250}, {priority: 2, objectiveMs: 1500}]);
	for (let at = now - 3000; at < now; at += 100) {
		admission.noteLook(false, at);
		admission.updateLevel(at);
	}

	const probeBudget = new RateLimiter({getRate: () => probeRate, burstSeconds: 1}, now);
	const preview = new TargetPreview({
		listTargets: () => pooledTargets, rater, coldTargets, availability, clock, probeBudget,
	});
	return explainService({
		request: {
			service: 's', priority: scarcePriority ?? 0, objectiveAt: now + 1500, deadlineAt: now + 3000, excludedTargets: [], bodyBytes: 0,
		},
		share: 1,
		placer: {waitingCount: 3, predictQueue: () => ({length: 3, msPerSlot: 10, waitMs: queueMs})},
		pool: {createPreview: () => preview},
		admission,
		coldTargetOwners: undefined,
		leavingCount: 1,
		clock,
	});
};

const idle = ['a-1', report({})] as const;
const manyIds = Array.from({length: 12}, (_item, index) => `a-${index + 10}`);
const others: Targets = [
	['x-1', report({})],
	['a-cold', report({}), 9000],
	['a-paused', ({pooledTarget, availability}) => {
		availability.addPause(pooledTarget, 500, now);
	}],
	['a-ejected', ({pooledTarget}) => {
		pooledTarget.record.recordEnd(AttemptEnd.ConnectFailed, now);
	}],
	['a-unhealthy', ({pooledTarget}) => {
		pooledTarget.record.recordHealth(false, now);
	}],
	['a-full', report({running: 4})],
	['a-slowed', report({slowdown: 4}, 50)],
];

// Guards against an explanation that differs from what the instance does, or that leaves out why a target gets nothing.
describe('explainService', () => {
	it.each<[name: string, targets: Targets, conditions: Conditions, ids: string[], expected: Record<string, unknown>]>([
		['sends to the idle target with the shortest expected time', [['b-1', report({slowdown: 1.2})], idle], {}, ['a-1', 'b-1'], {
			step: PlacementStep.Send, target: 'a-1', canProbeChange: false, expectedWaitMs: 0,
		}],
		['sends to a cold target that is owed a request first', [idle, ['a-owned', report({}), 9000]], {}, ['a-owned', 'a-1'], {step: PlacementStep.Send, target: 'a-owned'}],
		['probes those of its own domain first while no report is recent',
			[['b-1', report({}, 300)], ['a-1', report({}, 300)]],
			{},
			['a-1', 'b-1'],
			{step: PlacementStep.Probe, target: undefined, canProbeChange: true}],
		['queues when no report is recent and no probe allowed', [['a-1', report({}, 300)]], {probeRate: 0}, ['a-1'], {step: PlacementStep.Wait, canProbeChange: false, isCompeting: true}],
		['sends to a slowed target that has just reported', [['a-1', report({slowdown: 1.9}, 2)]], {}, ['a-1'], {step: PlacementStep.Send, target: 'a-1'}],
		['queues while all are full', [['a-1', report({running: 4})]], {}, [], {step: PlacementStep.Wait, exclusions: {full: 1, leaving: 1}, targetCount: 2}],
		['leaves slots to more urgent requests during a shortage', [idle], {scarcePriority: 2}, ['a-1'], {step: PlacementStep.Wait, isCompeting: false, scarcityLevel: 4}],
		['sends an urgent request during a shortage', [idle], {scarcePriority: 0}, ['a-1'], {step: PlacementStep.Send, scarcityLevel: 4}],
		['refuses behind a long queue',
			[idle],
			{queueMs: 1400},
			['a-1'],
			{step: PlacementStep.Refuse, expectedWaitMs: 1400, refusal: {kind: ErrorKind.QueueFull, status: 503, retryAfterMs: 1400}}],
		['refuses while all are evacuated', [['x-1', report({})]], {}, [], {step: PlacementStep.Refuse, exclusions: {evacuated: 1, leaving: 1}, refusal: {kind: ErrorKind.NoTarget}}],
		['says why each other target is excluded', [idle, ...others], {}, ['a-1'], {
			step: PlacementStep.Send, targetCount: 9, candidateCount: 1, exclusions: {
				evacuated: 1, 'cold-without-permit': 1, paused: 1, ejected: 1, unhealthy: 1, full: 1, slowed: 1, leaving: 1,
			},
		}],
		['probes nine targets at most', manyIds.map(id => [id, report({}, 300)]), {}, manyIds.slice(0, 9), {step: PlacementStep.Probe, candidateCount: 9, exclusions: {'probe-limit': 3, leaving: 1}}],
	])('%s', (...[, targets, conditions, ids, expected]) => {
		const explanation = explain(targets, conditions);
		expect(explanation).toMatchObject(expected);
		expect(explanation.targets.map(({id}) => id)).toEqual(ids);
	});
});
