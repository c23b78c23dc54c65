import {describe, expect, it} from 'vitest';
import type {FleetStatus} from '../../common/fleet-status.js';
import {MemberState} from '../../common/member-state.js';
import {buildFleetReport} from './build-fleet-report.js';
import {formatFleetReport} from './format-fleet-report.js';

const createStatus = (id: string, change: Partial<FleetStatus> = {}): FleetStatus => {
	const members = ['a', 'b'].map(name => ({
		instance: {
			id: name, host: '127.0.0.1', dataPort: 1, routePort: 2, peerPort: 3, operatorPort: 4, failureDomain: 'd', region: 'r', leaving: false,
		},
		incarnation: 1,
		state: MemberState.Alive,
	}));
	return {
		self: members.find(({instance}) => instance.id === id)!,
		members,
		watchedPeers: [],
		services: [{
			name: 's', parametersRevision: 2, template: 't', templateRevision: 1,
		}],
		revisions: {instances: 2},
		refused: [],
		platform: {
			watchedKeys: ['parameters/s'], callCount: 1, watchLimit: 10, callsPerSecond: 5, readAgeMs: 10, isStale: false,
		},
		...change,
	};
};

describe('the fleet report', () => {
	it.each([
		{
			name: 'equal views', statuses: [createStatus('a'), createStatus('b')], silent: [], disagreements: [], refused: [],
		},
		{
			name: 'a member that does not respond', statuses: [createStatus('a')], silent: ['b'], disagreements: [], refused: [],
		},
		{
			name: 'an older revision',
			statuses: [createStatus('a'), createStatus('b', {revisions: {instances: 1}})],
			silent: [],
			disagreements: ['key instances: revision 2 at a; revision 1 at b'], refused: [],
		},
		{
			name: 'a missing service',
			statuses: [createStatus('a'), createStatus('b', {services: []})],
			silent: [],
			disagreements: ['service s: parameters 2 with t 1 at a; missing at b'], refused: [],
		},
		{
			name: 'a refused value',
			statuses: [createStatus('a', {refused: [{key: 'templates/t', revision: 3, errors: [{field: 'name', value: '1', message: 'no'}]}]}), createStatus('b')],
			silent: [],
			disagreements: [],
			refused: ['templates/t revision 3: name = 1: no'],
		},
	])('shows $name', ({statuses, silent, disagreements, refused}) => {
		const report = buildFleetReport(statuses, ['a', 'b']);
		expect(report).toMatchObject({silent, disagreements, refused});
		expect(formatFleetReport(report)).toContain('read budget');
	});
});
