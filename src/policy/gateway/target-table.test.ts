import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {GatewayTarget} from '../../common/gateway/gateway-target.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {TargetTable} from './target-table.js';

const createTarget = (id: string, revision: number, isLeaving = false): GatewayTarget => ({
	...gatewayTarget, id, revision, isLeaving,
});
const describeTargets = (table: TargetTable): string[] => table.targets.map(({id, isLeaving}) => `${id} ${isLeaving}`).sort();

describe('TargetTable', () => {
	it.each([
		{
			name: 'a newer list', list: {revision: 9, targets: [createTarget('b', 8)]}, held: ['b false'], hasChanged: true,
		},
		{
			name: 'the same list', list: {revision: 9, targets: [createTarget('a', 4)]}, held: ['a false'], hasChanged: false,
		},
		{
			name: 'an older list', list: {revision: 4, targets: [createTarget('b', 3)]}, held: ['a false'], hasChanged: false,
		},
		{
			name: 'an older record of a target', list: {revision: 9, targets: [createTarget('a', 3, true)]}, held: ['a false'], hasChanged: false,
		},
		{
			name: 'a target that leaves', list: {revision: 9, targets: [createTarget('a', 8, true)]}, held: ['a true'], hasChanged: true,
		},
	])('applies $name from the registry', ({list, held, hasChanged}) => {
		const table = new TargetTable();
		table.applyList({revision: 5, targets: [createTarget('a', 4)]}, 0);
		expect(table.applyList(list, 0)).toBe(hasChanged);
		expect(describeTargets(table)).toEqual(held);
	});

	it.each([
		{
			name: 'changes since the current list', changes: {since: 5, changed: [createTarget('b', 8)], removed: [['a', 9]] as const}, held: ['b false'], result: true,
		},
		{
			name: 'changes since a newer list', changes: {since: 7, changed: [createTarget('b', 8)], removed: []}, held: ['a false'], result: undefined,
		},
		{
			name: 'changes since an older list', changes: {since: 3, changed: [createTarget('b', 8)], removed: []}, held: ['a false'], result: undefined,
		},
		{
			name: 'a complete list', changes: {since: 0, changed: [createTarget('b', 8)], removed: []}, held: ['b false'], result: true,
		},
		{
			name: 'a record older than the current list', changes: {since: 0, changed: [createTarget('a', 4), createTarget('c', 3)], removed: []}, held: ['a false'], result: false,
		},
	])('applies $name from a peer', ({changes, held, result}) => {
		const table = new TargetTable();
		table.applyList({revision: 5, targets: [createTarget('a', 4)]}, 0);
		expect(table.applyChanges(changes, 9, 0)).toBe(result);
		expect(describeTargets(table)).toEqual(held);
	});

	it.each([
		{
			name: 'a new record', changes: {since: 5, changed: [createTarget('b', 8)], removed: []}, held: ['a false', 'b false'], result: true,
		},
		{
			name: 'a removal', changes: {since: 5, changed: [], removed: [['a', 8]] as const}, held: [], result: true,
		},
		{
			name: 'a record of which only the warm-up has gone on', changes: {since: 5, changed: [{...createTarget('a', 8), warmUpLeftMs: 1}], removed: []}, held: ['a false'], result: false,
		},
		{
			name: 'nothing but a later revision', changes: {since: 5, changed: [], removed: []}, held: ['a false'], result: false,
		},
		{
			name: 'events that the list holds in part', changes: {since: 3, changed: [createTarget('a', 4), createTarget('b', 8)], removed: [['c', 4]] as const}, held: ['a false', 'b false'], result: true,
		},
		{
			name: 'a removal before the current record', changes: {since: 3, changed: [], removed: [['a', 3]] as const}, held: ['a false'], result: false,
		},
		{
			name: 'events after a gap', changes: {since: 7, changed: [createTarget('b', 8)], removed: []}, held: ['a false'], result: undefined,
		},
	])('applies $name from a watch of the registry', ({changes, held, result}) => {
		const table = new TargetTable();
		table.applyList({revision: 5, targets: [createTarget('a', 4)]}, 0);
		expect(table.applyEvents(changes, 9, 0)).toBe(result);
		expect(describeTargets(table)).toEqual(held);
		expect(table.completeRevision).toBe(result === undefined ? 5 : 9);
	});

	// Guards against records and removals that are refused for their lower revisions after the registry's count has started again.
	it.each([
		{
			name: 'the same targets', list: {revision: 3, targets: [createTarget('a', 1)]}, held: ['a false'], hasChanged: false,
		},
		{
			name: 'a target that leaves, with a lower revision', list: {revision: 3, targets: [createTarget('a', 1, true)]}, held: ['a true'], hasChanged: true,
		},
		{
			name: 'another target', list: {revision: 3, targets: [createTarget('b', 1)]}, held: ['b false'], hasChanged: true,
		},
		{
			name: 'no target', list: {revision: 3, targets: []}, held: [], hasChanged: true,
		},
	])('replaces the list by one of a higher generation with $name, and follows its revisions', ({list, held, hasChanged}) => {
		const table = new TargetTable();
		table.applyList({revision: 5, targets: [createTarget('a', 4)]}, 0);
		expect(table.resetTo(list, 1, 0)).toBe(hasChanged);
		expect(describeTargets(table)).toEqual(held);
		expect([table.completeRevision, table.generation]).toEqual([3, 1]);
		expect(table.collectChanges(5, 0).since).toBe(0);
		expect(table.applyEvents({since: 3, changed: [createTarget('c', 4)], removed: [['a', 4], ['b', 4]]}, 4, 0)).toBe(true);
		expect(describeTargets(table)).toEqual(['c false']);
	});

	// Guards against a target that becomes cold again under the same start, of which peers are not told.
	it.each([
		{name: 'list', apply: (table: TargetTable, target: GatewayTarget) => table.applyList({revision: 9, targets: [target]}, 2000)},
		{name: 'watch', apply: (table: TargetTable, target: GatewayTarget) => table.applyEvents({since: 5, changed: [target], removed: []}, 9, 2000)},
	])('takes a warm-up that has started again for a change, from a $name, and passes it on', ({apply}) => {
		const [table, peer] = [new TargetTable(), new TargetTable()];
		for (const each of [table, peer]) {
			each.applyList({revision: 5, targets: [createTarget('a', 4)]}, 0);
		}

		expect(apply(table, {...createTarget('a', 8), warmUpLeftMs: gatewayTarget.warmUpLeftMs})).toBe(true);
		expect(peer.applyChanges(table.collectChanges(5, 2500), 9, 2500)).toBe(true);
		expect(peer.targets[0]?.warmUpLeftMs).toBe(gatewayTarget.warmUpLeftMs - 500);
	});

	it('reduces the warm-up time in changes by the time since the record was stored', () => {
		const table = new TargetTable();
		table.applyList({revision: 5, targets: [createTarget('a', 4)]}, 1000);
		expect(table.collectChanges(0, 2500).changed[0]?.warmUpLeftMs).toBe(gatewayTarget.warmUpLeftMs - 1500);
	});

	it('matches the registry at its revision, with two readers and messages in any order', () => {
		const step = fc.record({
			action: fc.constantFrom('write', 'remove', 'read', 'watch', 'watch', 'tell', 'tell'),
			id: fc.constantFrom('a', 'b', 'c', 'd'),
			isLeaving: fc.boolean(),
			from: fc.integer({min: 0, max: 3}),
			to: fc.integer({min: 0, max: 3}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 150}), steps => {
			const tables = Array.from({length: 4}, () => new TargetTable());
			const registry = new Map<string, GatewayTarget>();
			const states = new Map<number, string[]>();
			const events: Array<{id: string; revision: number; target: GatewayTarget | undefined}> = [];
			const watchedRevisions = [0, 0];
			let revision = 1;
			for (const {action, id, isLeaving, from, to} of steps) {
				const table = tables[from];
				const receiver = tables[to];
				if (action === 'write' || action === 'remove') {
					revision++;
					if (action === 'write') {
						registry.set(id, createTarget(id, revision, isLeaving));
					} else {
						registry.delete(id);
					}

					events.push({id, revision, target: registry.get(id)});
				} else if (action === 'read' && from < 2) {
					table?.applyList({revision, targets: [...registry.values()]}, 0);
					watchedRevisions[from] = revision;
				} else if (action === 'watch' && (watchedRevisions[from] ?? 0) > 0) {
					const since = watchedRevisions[from] ?? 0;
					const latest = new Map(events.filter(event => event.revision > since).map(event => [event.id, event]));
					const changed = [...latest.values()].flatMap(({target}) => target ?? []);
					const removed = [...latest.values()].filter(({target}) => target === undefined).map(event => [event.id, event.revision] as const);
					expect(table?.applyEvents({since, changed, removed}, revision, 0)).toBeDefined();
					watchedRevisions[from] = revision;
				} else if (action === 'tell' && table !== undefined && receiver !== undefined && table.completeRevision > 0) {
					receiver.applyChanges(table.collectChanges(receiver.completeRevision, 0), table.completeRevision, 0);
				}

				states.set(revision, [...registry.values()].map(target => `${target.id} ${target.isLeaving}`).sort());
				for (const held of tables.filter(({completeRevision}) => completeRevision > 0)) {
					expect(describeTargets(held)).toEqual(states.get(held.completeRevision));
				}
			}
		}), {seed: 5, numRuns: 500});
	});
});
