import {describe, expect, it} from 'vitest';
import {ErrorKind} from '../../common/error-kind.js';
import {ExclusionReason} from '../../common/gateway/exclusion-reason.js';
import type {PlacementExplanation} from '../../common/gateway/placement-explanation.js';
import {PlacementStep} from '../../common/gateway/placement-step.js';
import type {ServiceExplanation} from '../../common/gateway/service-explanation.js';
import {formatPlacement} from './format-placement.js';

const target = {
	id: 'i-1', failureDomain: 'z-a', isLocal: true, freeSlots: 1, reportAgeMs: 3.4, slowdown: 1.1, durationRatio: 1, failureRate: 0.25,
	hasIdleConnection: true, isCold: false, estimateMs: 61.6, isIdle: true,
};

const service: ServiceExplanation = {
	service: 's1', share: 0.9, step: PlacementStep.Send, target: 'i-1', scarcityLevel: 0, isCompeting: true, waitingCount: 0, expectedWaitMs: 0, usualMs: 60, canProbeChange: false,
	targetCount: 4, candidateCount: 1, targets: [target], exclusions: {[ExclusionReason.Evacuated]: 2, [ExclusionReason.ColdWithoutPermit]: 1},
};

const placement: PlacementExplanation = {
	instance: {id: 'e-1', failureDomain: 'z-a'},
	request: {
		method: 'POST', host: 'h.example', path: '/x/1', bodyBytes: 7,
	},
	configuration: {version: 4, ageMs: 120.2},
	targetsAgeMs: 80,
	route: {
		name: 'r-1', host: 'h.example', pathPrefix: '/x/', objectiveMs: 400, timeoutMs: 1500, priority: 2,
	},
	services: [service],
};

const refusal = {
	kind: ErrorKind.QueueFull, status: 503, detail: 'the queue is long', retryAfterMs: 250.4,
};

// Guards against lines that leave out what an operator needs in order to see why a request goes elsewhere.
describe('formatPlacement', () => {
	it('describes the request, the state by which it is decided, and each service', () => {
		expect(formatPlacement(placement).split('\n')).toEqual([
			'POST h.example/x/1 with 7 bytes at e-1 in z-a',
			'configuration 4, confirmed 120 ms ago; targets confirmed 80 ms ago',
			'route r-1 for h.example/x/: objective 400 ms, timeout 1500 ms, priority 2',
			'service s1, 90.0 % of the route: sent to i-1',
			'  scarcity level 0; 0 requests waiting; expected wait 0 ms; usual duration 60 ms',
			'  a probe cannot change the result',
			'  1 of 4 targets can be chosen, in this order',
			'    1. i-1 in z-a (local): expected to take 62 ms, idle; 1 free slot, reported 3 ms ago; slowdown 1.10; duration ratio 1.00; failure rate 0.25; idle connection',
			'  excluded: 2 evacuated, 1 cold without a permit',
			'',
		]);
	});

	it.each<[string, Partial<PlacementExplanation>, Partial<ServiceExplanation>, string]>([
		['a refusal by the instance', {refusal: {...refusal, retryAfterMs: undefined}}, {}, 'before a target is looked for: refused with 503 queue-full: the queue is long\n'],
		['a refusal by the service', {}, {step: PlacementStep.Refuse, refusal}, 's1, 90.0 % of the route: refused with 503 queue-full: the queue is long; retry after 250 ms or more\n'],
		['a wait behind urgent requests', {}, {step: PlacementStep.Wait, isCompeting: false}, 'queued, leaving free slots to more urgent requests for now\n'],
		['an unknown wait', {}, {expectedWaitMs: undefined, waitingCount: 1}, '1 request waiting; expected wait unknown'],
		['a target without a report', {}, {
			targets: [{
				...target, isLocal: false, isCold: true, hasIdleConnection: false, estimateMs: undefined, reportAgeMs: undefined, slowdown: undefined,
			}],
		}, '1. i-1 in z-a: needs a probe; 1 free slot, no report; duration ratio 1.00; failure rate 0.25; no idle connection; cold\n'],
		['targets that are not listed', {}, {candidateCount: 30}, '    and 29 more\n'],
		['no target', {}, {candidateCount: 0, targets: [], exclusions: {}}, '  0 of 4 targets can be chosen\n  excluded: none\n'],
	])('describes %s', (_name, placementFields, serviceFields, text) => {
		expect(formatPlacement({...placement, ...placementFields, services: [{...service, ...serviceFields}]})).toContain(text);
	});
});
