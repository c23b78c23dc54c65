import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {Instance} from '../../common/instance.js';
import {MemberState} from '../../common/member-state.js';
import {chooseNeighbours} from './choose-neighbours.js';
import type {MemberRecord} from './member-record.js';
import {MembershipTable} from './membership-table.js';

const timing = {suspicionMs: 1000, forgetMs: 120_000};
const seed = 6;
const createInstance = (id: string, leaving = false): Instance => ({
	id, host: '127.0.0.1', dataPort: 1, routePort: 2, peerPort: 3, operatorPort: 4, failureDomain: 'a', region: 'r', leaving,
});
const createRecord = (id: string, incarnation: number, sequence: number, state: MemberState): MemberRecord => ({
	instance: createInstance(id), incarnation, sequence, state, canRead: true,
});
const createTable = () => new MembershipTable(createInstance('self'), 100, timing);
const list = (...instances: Instance[]) => ({maxInstances: 20, instances});

describe('the membership table', () => {
	it.each([
		{
			name: 'adds a listed instance', run(table: MembershipTable) {
				table.applyList(list(createInstance('b')), 0);
			}, state: MemberState.Alive,
		},
		{
			name: 'keeps an instance that is no longer listed', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.applyList(list(), 60_000);
			}, state: MemberState.Alive,
		},
		{
			name: 'suspects an instance before it declares it dead', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.markUnreachable('b', 10);
				table.advance(1009);
			}, state: MemberState.Suspect,
		},
		{
			name: 'declares an instance dead after the suspicion timeout', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.markUnreachable('b', 10);
				table.advance(1010);
			}, state: MemberState.Dead,
		},
		{
			name: 'accepts a refutation', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.markUnreachable('b', 10);
				table.applyRecord(createRecord('b', 5, 2, MemberState.Alive), 20);
			}, state: MemberState.Alive,
		},
		{
			name: 'readmits a dead instance that resumes', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.markUnreachable('b', 10);
				table.advance(5000);
				table.applyRecord(createRecord('b', 5, 2, MemberState.Alive), 6000);
			}, state: MemberState.Alive,
		},
		{
			name: 'only suspects an instance that a peer declares dead', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.applyRecord(createRecord('b', 5, 1, MemberState.Dead), 10);
			}, state: MemberState.Suspect,
		},
		{
			name: 'treats a replacement with the same id as a new instance', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 7, MemberState.Leaving), 0);
				table.applyRecord(createRecord('b', 6, 1, MemberState.Alive), 10);
			}, state: MemberState.Alive,
		},
		{
			name: 'ignores the leaving flag of the list when it refers to an earlier incarnation', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.applyList(list(createInstance('b', true)), 10);
				table.applyRecord(createRecord('b', 6, 1, MemberState.Alive), 20);
				table.applyList(list(createInstance('b', true)), 60_000);
			}, state: MemberState.Alive,
		},
		{
			name: 'applies the leaving flag of the list', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.applyList(list(createInstance('b', true)), 10);
			}, state: MemberState.Leaving,
		},
		{
			name: 'does not revert leaving within an incarnation', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 2, MemberState.Leaving), 0);
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 10);
			}, state: MemberState.Leaving,
		},
		{
			name: 'restarts the suspicion timeout after a pause of its own process', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.markUnreachable('b', 10);
				table.resume(30_000);
				table.advance(30_500);
			}, state: MemberState.Suspect,
		},
		{
			name: 'removes a dead instance that is not listed', run(table: MembershipTable) {
				table.applyRecord(createRecord('b', 5, 1, MemberState.Alive), 0);
				table.markUnreachable('b', 0);
				table.advance(1000);
				table.advance(121_000);
			}, state: undefined,
		},
	])('$name', ({run, state}) => {
		const table = createTable();
		run(table);
		expect(table.getRecord('b')?.state).toBe(state);
	});

	it.each([
		{
			name: 'refutes a suspicion', record: createRecord('self', 100, 1, MemberState.Suspect), hasJoined: true, state: MemberState.Alive, incarnation: 100,
		},
		{
			name: 'refutes that it is dead', record: createRecord('self', 100, 9, MemberState.Dead), hasJoined: true, state: MemberState.Alive, incarnation: 100,
		},
		{
			name: 'exceeds an earlier incarnation whose clock was ahead', record: createRecord('self', 200, 3, MemberState.Dead), hasJoined: false, state: MemberState.Alive, incarnation: 201,
		},
		{
			name: 'leaves when another process uses its id', record: createRecord('self', 200, 1, MemberState.Alive), hasJoined: true, state: MemberState.Leaving, incarnation: 100,
		},
	])('$name', ({record, hasJoined, state, incarnation}) => {
		const table = createTable();
		if (hasJoined) {
			table.markJoined();
		}

		expect(table.applyRecord(record, 0)).toHaveLength(1);
		expect(table.self).toMatchObject({state, incarnation});
	});

	it('converges to the same state for any order of records, and incarnations never decrease', () => {
		const state = fc.constantFrom(MemberState.Alive, MemberState.Suspect, MemberState.Leaving);
		const record = fc.record({
			id: fc.constantFrom('b', 'c', 'd'), incarnation: fc.integer({min: 1, max: 3}), sequence: fc.integer({min: 1, max: 3}), state, order: fc.nat(),
		});
		fc.assert(fc.property(fc.array(record, {maxLength: 20}), records => {
			const shuffled = [...records].sort((a, b) => a.order - b.order);
			const tables = [records, shuffled].map(items => {
				const table = createTable();
				for (const item of items) {
					const {id, incarnation, sequence} = item;
					const before = table.getRecord(id)?.incarnation ?? 0;
					table.applyRecord(createRecord(id, incarnation, sequence, item.state), 0);
					expect(table.getRecord(id)?.incarnation).toBeGreaterThanOrEqual(before);
				}

				return table;
			});
			expect(tables[0]?.computeDigest()).toBe(tables[1]?.computeDigest());
		}), {seed});
	});
});

describe('the neighbours', () => {
	it.each([2, 3, 18, 300])('connect %d instances with a bounded fan-out, each probed by another', count => {
		const ids = Array.from({length: count}, (_, index) => `entry-${index}`);
		const neighbours = new Map(ids.map(id => [id, chooseNeighbours(id, ids)]));
		expect(Math.max(...[...neighbours.values()].map(({gossipPeers}) => gossipPeers.length))).toBeLessThanOrEqual(6);
		expect(new Set([...neighbours.values()].flatMap(({watched}) => watched)).size).toBe(count);
		let reached = new Set(['entry-0']);
		for (let hop = 0; hop < 6; hop++) {
			reached = new Set([...reached, ...[...reached].flatMap(id => neighbours.get(id)?.gossipPeers ?? [])]);
		}

		expect(reached.size).toBe(count);
	});
});
