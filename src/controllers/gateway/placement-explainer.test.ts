import {describe, expect, it} from 'vitest';
import {gatewayConfiguration} from '../../../test/support/gateway-configuration.js';
import {ErrorKind} from '../../common/error-kind.js';
import type {ServiceExplanation} from '../../common/gateway/service-explanation.js';
import {PlacementExplainer} from './placement-explainer.js';

const explain = (path: string, bodyBytes = 0, state: {readonly isAcceptingRequests?: boolean; readonly bodyLimit?: number; readonly isConfigured?: boolean} = {}) => {
	const {isAcceptingRequests = true, bodyLimit = 1000, isConfigured = true} = state;
	const configuration = isConfigured ? {...gatewayConfiguration, limits: {...gatewayConfiguration.limits, bodyBytes: bodyLimit}} : undefined;
	return new PlacementExplainer({
		instance: {id: 'e-1', failureDomain: 'a'},
		view: {configuration, configurationAgeMs: 5, targetsAgeMs: 7},
		placement: {explain: ({service, objectiveAt, deadlineAt}, share) => ({service, share, times: [objectiveAt, deadlineAt]}) as unknown as ServiceExplanation},
		shutdown: {isAcceptingRequests, abortAt: Number.POSITIVE_INFINITY},
		clients: {totalFreeBytes: 500},
		clock: {now: () => 1000},
	}).explain({
		method: 'GET', host: 'H.example:80', path, bodyBytes,
	});
};

// Guards against an explanation of another route or branch than the one that gets the request, and against one that hides a refusal by the instance.
describe('PlacementExplainer', () => {
	it('explains all branches of a split with their shares', () => {
		const services = [['s1', 90 / 90.5], ['s2', 0.5 / 90.5]].map(([service, share]) => ({service, share, times: [1400.5, 2500]}));
		expect(explain('/x/y?z=/none')._unsafeUnwrap()).toMatchObject({
			instance: {id: 'e-1', failureDomain: 'a'}, configuration: {version: 3, ageMs: 5}, targetsAgeMs: 7, route: {name: 'r-1', priority: 2}, refusal: undefined, services,
		});
	});

	it.each([
		['a path without a route', explain('/y/'), ErrorKind.UnknownService],
		['an instance without a configuration', explain('/x/', 0, {isConfigured: false}), ErrorKind.NotConfigured],
		['an instance that stops', explain('/x/', 0, {isAcceptingRequests: false}), ErrorKind.ShuttingDown],
		['a body over the limit', explain('/x/', 1001), ErrorKind.BodyTooLarge],
		['a body for which there is no memory', explain('/x/', 501), ErrorKind.Overloaded],
	])('names the refusal for %s', (_name, result, kind) => {
		expect(result.match(({refusal}) => refusal?.kind, error => error.kind)).toBe(kind);
	});
});
