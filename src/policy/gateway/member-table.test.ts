import {describe, expect, it} from 'vitest';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {MemberTable} from './member-table.js';

const createMember = (incarnation: number, revision: number, state = MemberState.Running, id = 'e'): GatewayMember => ({
	id, failureDomain: 'd', dataAddress: 'h:1', peerAddress: 'h:2', cores: 1, incarnation, revision, state, isServing: true, canRead: true,
});

describe('MemberTable', () => {
	it.each([
		['a higher revision', createMember(1, 2), createMember(1, 3), 3],
		['a lower revision', createMember(1, 3), createMember(1, 2), 3],
		['a replaced instance', createMember(1, 9), createMember(2, 0), 0],
		['an old record of a replaced instance', createMember(2, 0), createMember(1, 9), 0],
	])('with %s keeps the newer record', (_name, first, second, revision) => {
		const table = new MemberTable();
		table.merge(first, 's', 0);
		table.merge(second, 's', 10);
		expect(table.members.map(member => member.revision)).toEqual([revision]);
	});

	it.each([
		['running', [createMember(1, 1)], 1, 1],
		['reported lost', [createMember(1, 1), createMember(1, 1, MemberState.Lost)], 0, 1],
		['reported lost by an older record', [createMember(1, 2), createMember(1, 1, MemberState.Lost)], 1, 1],
		['back after it was reported lost', [createMember(1, 1, MemberState.Lost), createMember(1, 2)], 1, 1],
		['shut down as planned', [createMember(1, 1), createMember(1, 2, MemberState.Left)], 0, 0],
		['unknown and has left', [createMember(1, 2, MemberState.Left)], 0, 0],
	])('counts an instance that is %s', (_name, records, running, possible) => {
		const table = new MemberTable();
		for (const record of records) {
			table.merge(record, 's', 0);
		}

		expect(table.listRunning()).toHaveLength(running);
		expect(table.countNotLeft('d')).toBe(possible);
	});

	it('lists records changed after a given change, without those sent by the receiver', () => {
		const table = new MemberTable();
		table.merge(createMember(1, 1, MemberState.Running, 'a'), 'a', 0);
		const {changeNumber} = table;
		table.merge(createMember(1, 1, MemberState.Running, 'b'), 'b', 0);
		table.merge(createMember(1, 1, MemberState.Running, 'c'), 's', 0);
		expect(table.listChanges(changeNumber, 'b').map(({id}) => id)).toEqual(['c']);
		expect(table.listChanges(0, 's').map(({id}) => id)).toEqual(['a', 'b']);
	});

	it('has the same digest for the same running instances, in whichever order they were merged', () => {
		const records = [createMember(1, 1, MemberState.Running, 'a'), createMember(3, 1, MemberState.Running, 'b')];
		const first = new MemberTable();
		const second = new MemberTable();
		for (const record of records) {
			first.merge(record, 's', 0);
		}

		second.merge(createMember(2, 9, MemberState.Running, 'b'), 's', 0);
		for (const record of [...records].reverse()) {
			second.merge(record, 's', 0);
		}

		expect(second.digest).toBe(first.digest);
		second.merge(createMember(3, 1, MemberState.Lost, 'b'), 's', 0);
		expect(second.digest).not.toBe(first.digest);
	});

	it('removes an instance that was lost long ago, not a running one', () => {
		const table = new MemberTable();
		table.merge(createMember(1, 1, MemberState.Lost, 'a'), 's', 0);
		table.merge(createMember(1, 1, MemberState.Running, 'b'), 's', 0);
		table.dropEnded(1001, 1000);
		expect(table.members.map(({id}) => id)).toEqual(['b']);
	});
});
