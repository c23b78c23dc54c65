import {inspect} from 'node:util';
import {describe, expect, it} from 'vitest';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {PlacementStep} from '../../common/gateway/placement-step.js';
import {ColdTargetOwners} from '../../policy/gateway/cold-target-owners.js';
import {explainService} from './explain-service.js';
import {ServiceAdmission} from './service-admission.js';
import {ServicePlacer} from './service-placer.js';
import {TargetPool} from './target-pool.js';
import type {TargetProber} from './target-prober.js';

const now = 10_000;
const clock = {now: () => now};

const createService = (warmUpLeftMs: number) => {
	const events: string[] = [];
	const random = () => {
		events.push('random');
		return 0.5;
	};

	const metrics = {
		countEvent(name: string) {
			events.push(name);
		},
		recordGauge: () => undefined,
		recordDuration: () => undefined,
	};
	const members = {changeNumber: 1, isJoined: true, listNotLeft: () => [{id: 'e-1', state: MemberState.Running, cores: 1}]};
	const owners = new ColdTargetOwners({
		selfId: 'e-1', members, overshoot: undefined, slack: undefined,
	}, 0);
	const prober = {
		async probe() {
			events.push('probe');
		},
	};
	const pool = new TargetPool({
		service: {
			name: 's', healthPath: '/', connectionsPerTarget: 10, warmUpPerSecond: 2,
		}, instanceId: 'e-1', failureDomain: 'a', clock, random, prober: prober as unknown as TargetProber, logger: silentLogger, metrics,
		getMaxConnections: () => 2, maxResponseBytes: 1000, getProbeRate: () => 3, onRelease: () => undefined, onLeaving: () => undefined, coldTargetOwners: owners,
	});
	pool.update([{...gatewayTarget, warmUpLeftMs}]);
	const admission = new ServiceAdmission(random);
	admission.setPriorities([{priority: 0, objectiveMs: 400}, {priority: 2, objectiveMs: 1500}]);
	const placer = new ServicePlacer({
		pool, admission, clock, logger: silentLogger, metrics,
	});
	// The level of scarcity is due for a step.
	admission.noteLook(false, now - 2000);
	admission.noteLook(false, now);
	return {
		events, owners, pool, admission, placer,
	};
};

// Guards against a question of an operator that takes a permit, a probe or a time of return, or moves a level, a counter or a share, so that it changes what requests get.
describe('explainService on copies', () => {
	it.each([
		['would be refused', 20_000, 250, PlacementStep.Refuse],
		['would wait for probes', 0, 900, PlacementStep.Probe],
	])('changes no state of a service at which the request %s', (_name, warmUpLeftMs, objectiveMs, step) => {
		const state = createService(warmUpLeftMs);
		const {owners, pool, admission, placer} = state;
		const before = inspect(state, {depth: Infinity, maxArrayLength: null});
		const explanation = explainService({
			request: {
				service: 's', priority: 0, objectiveAt: now + objectiveMs, deadlineAt: now + 3000, excludedTargets: [], bodyBytes: 0,
			}, share: 1, placer, pool, admission, coldTargetOwners: owners, leavingCount: 0, clock,
		});
		expect(explanation).toMatchObject({step, scarcityLevel: 1});
		expect(inspect(state, {depth: Infinity, maxArrayLength: null})).toBe(before);
	});
});
