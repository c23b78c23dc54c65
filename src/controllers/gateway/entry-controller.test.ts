import {describe, expect, it} from 'vitest';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {EntryController} from './entry-controller.js';
import {SiteView} from './site-view.js';

const createMember = (id: string, failureDomain: string): GatewayMember => ({
	id, failureDomain, dataAddress: id, peerAddress: id, cores: 1, incarnation: 1, revision: 0, state: MemberState.Running, isServing: true, canRead: true,
});

const createRoute = (host: string, service: string) => ({
	name: host, host, pathPrefix: '/', shares: [{service, weight: 1}], isIdempotent: true, timeoutMs: 1, objectiveMs: 1, priority: 1, maxAttempts: 1,
});

const createFleet = (selfId = 'a-1') => {
	const view = new SiteView({clock: {now: () => 0}, logger: silentLogger});
	const members: GatewayMember[] = [createMember('a-1', 'a'), createMember('b-1', 'b')];
	const counted = {changes: 1, listings: 0};
	const entries = new EntryController({
		view,
		settings: {instance: {id: selfId, failureDomain: 'a', region: 'r'}, failureDomains: ['a']},
		members: {
			get changeNumber() {
				return counted.changes;
			},
			listServing(failureDomain) {
				counted.listings++;
				const local = members.filter(member => member.failureDomain === failureDomain);
				return local.length > 0 ? local : members;
			},
		},
	});
	const publish = (version: number, hosts: readonly string[], services: readonly string[] = ['s']) => {
		view.offerConfiguration({
			version,
			routes: hosts.map((host, index) => createRoute(host, services[index] ?? 's')),
			services: services.map(name => ({name, healthPath: '/', connectionsPerTarget: 1})),
			limits: {
				headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
			},
		}, 0);
	};

	publish(1, ['h.example']);
	view.offerTargets({revision: 1, targets: [gatewayTarget]}, 0);
	return {
		entries, members, counted, publish, ask: (failureDomain: string, host = 'h.example') => entries.resolve({host, failureDomain}).addresses,
	};
};

describe('EntryController', () => {
	it.each([
		['the failure domain of the caller', 'b', ['b-1']],
		['its own failure domain when the caller states none', '', ['a-1']],
		['all failure domains when the caller states one without instances', 'z', ['a-1', 'b-1']],
	])('resolves to instances of %s', (_name, failureDomain, addresses) => {
		expect(createFleet().ask(failureDomain, 'unknown.example')).toEqual(addresses);
	});

	it('includes an instance as soon as it serves callers', () => {
		const {members, counted, ask} = createFleet();
		expect(ask('a')).toEqual(['a-1']);
		members.push(createMember('a-2', 'a'));
		counted.changes++;
		expect([...ask('a')].sort()).toEqual(['a-1', 'a-2']);
	});

	it('assigns hosts of a newer configuration', () => {
		const {members, publish, counted, ask} = createFleet();
		members.push(createMember('a-2', 'a'));
		counted.changes++;
		expect(ask('a')).toHaveLength(2);
		publish(2, ['h.example', 'i.example'], ['s', 't']);
		expect([...ask('a'), ...ask('a', 'i.example')].sort()).toEqual(['a-1', 'a-2']);
	});

	it('assigns the same instances to hosts of one service, so that hosts without traffic take none from the others', () => {
		const {members, publish, counted, ask} = createFleet();
		members.push(createMember('a-2', 'a'));
		counted.changes++;
		publish(2, ['h.example', 'i.example', 'j.example']);
		expect([ask('a'), ask('a', 'i.example'), ask('a', 'j.example')].map(addresses => [...addresses].sort())).toEqual(Array.from({length: 3}, () => ['a-1', 'a-2']));
	});

	it('caches assignments while nothing changes, up to a limit', () => {
		const {counted, ask} = createFleet();
		for (let index = 0; index < 100; index++) {
			ask('a');
		}

		expect(counted.listings).toBe(1);
		for (let index = 0; index < 200; index++) {
			ask(`z-${index}`);
		}

		expect(ask('a')).toEqual(['a-1']);
	});

	// Guards against instances with all callers that have as small a part of the fleet's limits as those without any.
	it.each([
		['an instance to which callers are sent', 'a-1', 0.25 + (0.75 * 40 / 8)],
		['another instance', 'a-31', 0.25],
	])('gives %s its share of the limits of the service', (_name, id, factor) => {
		const {members, counted, entries} = createFleet(id);
		for (let index = 2; index <= 40; index++) {
			members.push({...createMember(`a-${index}`, 'a'), cores: index < 9 ? 1 : 0.5});
		}

		counted.changes++;
		expect(entries.computeTrafficFactor('s')).toBeCloseTo(factor);
		expect(entries.computeTrafficFactor('unknown')).toBe(1);
	});
});
