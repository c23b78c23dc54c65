import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {assignEntries} from './assign-entries.js';

const createMembers = (count: number): GatewayMember[] => Array.from({length: count}, (_item, index) => ({
	id: `e-${index}`, failureDomain: 'd', dataAddress: `h${index}:1`, peerAddress: `h${index}:2`, cores: 1, incarnation: 1, revision: 1, state: MemberState.Running, isServing: true, canRead: true,
}));

const services = [['a', 80], ['b', 40], ['c', 50], ['d', 48]].map(([name, slots]) => ({
	name: String(name), hosts: [String(name)], services: [], slots: Number(slots),
}));

const describeAssignment = (assigned: Map<string, GatewayMember[]>): string[] => {
	const lines = [...assigned].flatMap(([name, entries]) => entries.map(({id}) => `${name} ${id}`));
	return lines.sort((a, b) => a.localeCompare(b));
};

describe('assignEntries', () => {
	it.each([
		[0, 0],
		[1, 4],
		[3, 4],
		[4, 4],
		[6, 6],
		[12, 12],
	])('with %i instances assigns %i entries evenly and to every host name', (count, entryCount) => {
		const assigned = assignEntries(services, createMembers(count));
		const all = [...assigned.values()].flat();
		expect(all).toHaveLength(entryCount);
		expect(assigned.size).toBe(count === 0 ? 0 : services.length);
		const perMember = createMembers(count).map(member => all.filter(({id}) => id === member.id).length);
		expect(Math.max(0, ...perMember)).toBeLessThanOrEqual(Math.ceil(services.length / Math.max(1, count)));
	});

	it('assigns remaining instances to the host names with the most slots per entry', () => {
		expect(assignEntries(services, createMembers(5)).get('a')).toHaveLength(2);
	});

	it('does not depend on the order of its arguments', () => {
		fc.assert(fc.property(fc.shuffledSubarray(createMembers(9), {minLength: 9}), members => {
			expect(describeAssignment(assignEntries([...services].reverse(), members))).toEqual(describeAssignment(assignEntries(services, createMembers(9))));
		}), {seed: 3, numRuns: 50});
	});
});
