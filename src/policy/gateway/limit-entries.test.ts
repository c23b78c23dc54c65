import {describe, expect, it} from 'vitest';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {limitEntries} from './limit-entries.js';

const createMembers = (coresOfEach: readonly number[]): GatewayMember[] => coresOfEach.map((cores, index) => ({
	id: `e-${index}`, failureDomain: 'd', dataAddress: `h${index}:1`, peerAddress: `h${index}:2`, cores, incarnation: 1, revision: 1, state: MemberState.Running, isServing: true, canRead: true,
}));

const small = (count: number): number[] => Array.from({length: count}, () => 0.25);

// Guards against callers that are spread thinly over many instances, and against a small instance that gets as many callers as a large one.
describe('limitEntries', () => {
	it.each([
		{
			name: 'keeps all of a few', cores: small(7), slots: 1, count: 7, largest: 0.25,
		},
		{
			name: 'keeps eight of many with little load', cores: small(40), slots: 1, count: 8, largest: 0.25,
		},
		{
			name: 'grows with the slots of the targets', cores: small(40), slots: 60, count: 12, largest: 0.25,
		},
		{
			name: 'keeps all when the load needs them', cores: small(40), slots: 1000, count: 40, largest: 0.25,
		},
		{
			name: 'prefers those with most processor time', cores: [...small(40), 1.5, 1.5], slots: 60, count: 8, largest: 1.5,
		},
	])('$name', ({cores, slots, count, largest}) => {
		const members = createMembers(cores);
		const entries = limitEntries('g', members, slots);
		expect(entries).toHaveLength(count);
		expect(Math.max(...entries.map(entry => entry.cores))).toBe(largest);
		expect(limitEntries('g', members.toReversed(), slots)).toEqual(entries);
	});

	it('replaces only the instance that is lost', () => {
		const members = createMembers(small(40));
		const before = limitEntries('g', members, 1).map(({id}) => id);
		const after = limitEntries('g', members.filter(({id}) => id !== before[0]), 1).map(({id}) => id);
		expect(after.filter(id => !before.includes(id))).toHaveLength(1);
	});
});
