import {inspect} from 'node:util';
import {describe, expect, it} from 'vitest';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {ErrorKind} from '../../common/error-kind.js';
import {AttemptEnd} from '../../common/gateway/attempt-end.js';
import {ExclusionReason} from '../../common/gateway/exclusion-reason.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {PlacementStep} from '../../common/gateway/placement-step.js';
import type {TargetLoad} from '../../common/gateway/target-load.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {ColdTargetOwners} from '../../policy/gateway/cold-target-owners.js';
import {createEvacuationGuard} from '../../policy/gateway/create-evacuation-guard.js';
import {rankMember} from '../../policy/gateway/rank-member.js';
import type {TargetRecord} from '../../policy/gateway/target-record.js';
import {explainService} from './explain-service.js';
import {ServiceAdmission} from './service-admission.js';
import {TargetPool} from './target-pool.js';
import type {TargetProber} from './target-prober.js';

type Prepare = (record: TargetRecord) => void;
/** Each target has an id that begins with its failure domain, and possibly a warm-up time. While cold, a-6 belongs to this instance and a-3 to the other one. */
type Targets = ReadonlyArray<readonly [id: string, prepare: Prepare, warmUpLeftMs?: number]>;
type Conditions = {readonly probeRate?: number; readonly queueMs?: number; readonly scarcePriority?: number};

const now = 10_000;
const clock = {now: () => now};
const idleLoad: TargetLoad = {
	running: 0, waiting: 0, slots: 4, slowdown: 1,
};

const report = (load: Partial<TargetLoad>, ageMs = 1): Prepare => record => {
	record.recordLoad({...idleLoad, ...load}, now - ageMs);
};

const createService = async (targets: Targets, {probeRate = 10, queueMs = 0, scarcePriority}: Conditions) => {
	const events: string[] = [];
	const random = () => events.push('random') / 1000;
	const metrics = {
		...disabledMetrics, countEvent(name: string) {
			events.push(name);
		},
	};
	const records = new Map<string, TargetRecord>();
	const prober = {
		async probe(_client: unknown, _path: string, targetId: string) {
			events.push('probe');
			return {isHealthy: true, targetId, report: {load: idleLoad, isLeaving: false, pauseMs: 0}};
		},
	};
	const listNotLeft = () => ['e-1', 'e-2'].map(id => ({id, state: MemberState.Running, cores: 1}));
	const members = {changeNumber: 1, isJoined: true, listNotLeft};
	const coldTargetOwners = new ColdTargetOwners({
		selfId: 'e-1', members, overshoot: undefined, slack: undefined,
	}, 0);
	coldTargetOwners.refresh(0);
	let currentProbeRate = 10;
	const pool = new TargetPool({
		service: {
			name: 's', healthPath: '/', connectionsPerTarget: 1, warmUpPerSecond: 1,
		}, instanceId: 'e-1', failureDomain: 'a', clock, random, metrics, logger: silentLogger, prober: prober as unknown as TargetProber, coldTargetOwners,
		getMaxConnections: () => 1, maxResponseBytes: 1, getProbeRate: () => currentProbeRate, onRelease: () => undefined, onLeaving: () => undefined,
		guards: [createEvacuationGuard(domain => domain === 'x'), {
			reason: ExclusionReason.Paused, noteGrant: () => undefined, canSend: () => true, computeBlockedMs(record) {
				records.set(record.target.id, record);
				return record.target.id === 'a-paused' ? 500 : 0;
			},
		}],
	});
	pool.update(targets.map(([id, , warmUpLeftMs = 0]) => ({
		...gatewayTarget, id, slots: 4, warmUpLeftMs, failureDomain: id.slice(0, 1),
	})));
	// Shows the pool that its targets report their load.
	await pool.chooseWithProbes({excludedTargets: [], bodyBytes: 0});
	currentProbeRate = probeRate;
	members.changeNumber++;
	for (const [id, prepare] of targets) {
		prepare(records.get(id)!);
	}

	const admission = new ServiceAdmission(random);
	admission.setPriorities(scarcePriority === undefined ? [] : [{priority: 0, objectiveMs: 250}, {priority: 2, objectiveMs: 1500}]);
	for (let at = now - 3000; at < now; at += 100) {
		admission.noteLook(false, at);
	}

	const request = {
		service: 's', priority: scarcePriority ?? 0, objectiveAt: now + 1500, deadlineAt: now + 3000, excludedTargets: [], bodyBytes: 0,
	};
	const placer = {waitingCount: 3, predictQueue: () => ({length: 3, msPerSlot: 10, waitMs: queueMs})};
	return {
		events, request, share: 1, placer, pool, admission, coldTargetOwners, leavingCount: 1, clock,
	};
};

const idle = ['a-1', report({})] as const;
/** In the order in which the instance prefers them. */
const manyIds = Array.from({length: 12}, (_item, index) => `a-${index + 10}`).sort((a, b) => rankMember(a, 'e-1') - rankMember(b, 'e-1'));
const others: Targets = [
	['x-1', report({})],
	['a-3', report({}), 9000],
	['a-paused', report({})],
	['a-ejected', record => {
		record.recordEnd(AttemptEnd.ConnectFailed, now);
	}],
	['a-unhealthy', record => {
		record.recordHealth(false, now);
	}],
	['a-full', report({running: 4})],
	['a-slowed', report({slowdown: 4}, 50)],
];

describe('explainService', () => {
	// Guards against an explanation that differs from what the instance does, that leaves out why a target gets nothing, or that changes what requests get.
	it.each<[name: string, targets: Targets, conditions: Conditions, ids: string[], expected: Record<string, unknown>]>([
		['the idle target with the shortest expected time', [['b-1', report({slowdown: 1.2})], idle], {}, ['a-1', 'b-1'], {step: PlacementStep.Send, target: 'a-1', canProbeChange: false}],
		['a cold target that is owed a request first', [idle, ['a-6', report({}), 9000]], {}, ['a-6', 'a-1'], {step: PlacementStep.Send, target: 'a-6'}],
		['probes of its own domain first', [['b-1', report({}, 300)], ['a-1', report({}, 300)]], {}, ['a-1', 'b-1'], {step: PlacementStep.Probe, target: undefined, canProbeChange: true}],
		['a wait when no probe is allowed', [['a-1', report({}, 300)]], {probeRate: 0}, ['a-1'], {step: PlacementStep.Wait, canProbeChange: false, isCompeting: true}],
		['a slowed target that has just reported', [['a-1', report({slowdown: 1.9}, 2)]], {}, ['a-1'], {step: PlacementStep.Send, target: 'a-1'}],
		['a wait while all are full', [['a-1', report({running: 4})]], {}, [], {step: PlacementStep.Wait, exclusions: {full: 1, leaving: 1}, targetCount: 2}],
		['a wait behind urgent requests in a shortage', [idle], {scarcePriority: 2}, ['a-1'], {step: PlacementStep.Wait, isCompeting: false, scarcityLevel: 1}],
		['a target for an urgent request in a shortage', [idle], {scarcePriority: 0}, ['a-1'], {step: PlacementStep.Send, scarcityLevel: 1}],
		['a refusal behind a long queue', [idle], {queueMs: 1400, scarcePriority: 0}, ['a-1'], {expectedWaitMs: 1400, refusal: {kind: ErrorKind.QueueFull, status: 503, retryAfterMs: 1000}}],
		['a refusal while all are cold', [['a-3', report({}), 9000]], {}, [], {step: PlacementStep.Refuse, exclusions: {'cold-without-permit': 1, leaving: 1}}],
		['a refusal while all are evacuated', [['x-1', report({})]], {}, [], {step: PlacementStep.Refuse, exclusions: {evacuated: 1, leaving: 1}, refusal: {kind: ErrorKind.NoTarget}}],
		['why each other target is excluded', [idle, ...others], {}, ['a-1'], {
			targetCount: 9, exclusions: {
				evacuated: 1, 'cold-without-permit': 1, paused: 1, ejected: 1, unhealthy: 1, full: 1, slowed: 1, leaving: 1,
			},
		}],
		['nine targets to probe at most', manyIds.map(id => [id, report({}, 300)]), {}, manyIds.slice(0, 9), {candidateCount: 9, exclusions: {'probe-limit': 3, leaving: 1}}],
	])('states %s, and changes nothing', async (...[, targets, conditions, ids, expected]) => {
		const state = await createService(targets, conditions);
		const before = inspect(state, {depth: Infinity, maxArrayLength: null});
		const explanation = explainService(state);
		expect(explanation).toMatchObject(expected);
		expect(explanation.targets.map(({id}) => id)).toEqual(ids);
		expect(inspect(state, {depth: Infinity, maxArrayLength: null})).toBe(before);
		const chosen = explanation.step === PlacementStep.Send ? state.pool.chooseFromReports(state.request) : undefined;
		expect(chosen?.pooledTarget.record.target.id).toBe(explanation.target);
	});
});
