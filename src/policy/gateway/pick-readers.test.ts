import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {pickReaders} from './pick-readers.js';

const createMember = (id: string, fields: Partial<GatewayMember> = {}): GatewayMember => ({
	id, failureDomain: 'd', dataAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:2', cores: 1, incarnation: 1, revision: 1, state: MemberState.Running, isServing: true, canRead: true, ...fields,
});

describe('pickReaders', () => {
	it.each([
		['by id', [createMember('c'), createMember('a'), createMember('b')], ['a', 'b', 'c']],
		['the larger one first', [createMember('a'), createMember('b', {cores: 2})], ['b', 'a']],
		['one that is shutting down last', [createMember('a', {isServing: false, cores: 2}), createMember('b')], ['b', 'a']],
		['one that cannot read last', [createMember('a', {canRead: false}), createMember('b', {isServing: false})], ['b', 'a']],
	])('picks %s', (_name, members, ids) => {
		expect(pickReaders(members, 3).map(({id}) => id)).toEqual(ids);
	});

	it('picks the same ones in any order of the members', () => {
		const members = Array.from({length: 20}, (_item, index) => createMember(`i-${index}`, {cores: index % 3, canRead: index % 2 === 0}));
		fc.assert(fc.property(fc.shuffledSubarray(members, {minLength: 20}), shuffled => {
			expect(pickReaders(shuffled, 3)).toEqual(pickReaders(members, 3));
		}), {seed: 29, numRuns: 100});
	});
});
