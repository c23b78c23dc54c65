import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {EvacuationSet} from '../../common/gateway/evacuation-set.js';
import {Evacuations} from './evacuations.js';

const retentionMs = 5000;

type Step = {readonly atMs: number; readonly domains: readonly string[]; readonly era?: number; readonly revision: number; readonly generation?: number; readonly retained?: EvacuationSet['retained']};

const createSet = ({domains, era = 0, revision, generation = 0, retained}: Step): EvacuationSet => ({
	generation, era, revision, domains, ...(retained !== undefined && {retained}),
});

describe('Evacuations', () => {
	it.each<{name: string; steps: Step[]; nowMs: number; inForce: string[]}>([
		{
			name: 'a set', steps: [{atMs: 0, domains: ['b', 'a'], revision: 5}], nowMs: 0, inForce: ['a', 'b'],
		},
		{
			name: 'a deletion', steps: [{atMs: 0, domains: ['a', 'b'], revision: 5}, {atMs: 10, domains: ['b'], revision: 6}], nowMs: 10, inForce: ['b'],
		},
		{
			name: 'an older set after a newer one', steps: [{atMs: 0, domains: [], revision: 6}, {atMs: 10, domains: ['a'], revision: 5}], nowMs: 10, inForce: [],
		},
		{
			name: 'a lower revision of a later era', steps: [{atMs: 0, domains: ['a'], revision: 6}, {
				atMs: 10, domains: ['a', 'b'], era: 1, revision: 2,
			}], nowMs: 10, inForce: ['a', 'b'],
		},
		{
			name: 'a higher revision of an earlier era', steps: [{
				atMs: 0, domains: [], era: 1, revision: 6,
			}, {atMs: 10, domains: ['a'], revision: 9}], nowMs: 10, inForce: [],
		},
		{
			name: 'an evacuation that the restored registry has lost', steps: [{atMs: 0, domains: ['a'], revision: 6}, {
				atMs: 10, domains: [], era: 1, revision: 2,
			}], nowMs: 5009, inForce: ['a'],
		},
		{
			name: 'the same after its time', steps: [{atMs: 0, domains: ['a'], revision: 6}, {
				atMs: 10, domains: [], era: 1, revision: 2,
			}], nowMs: 5010, inForce: [],
		},
		{
			name: 'the same when it was written again and deleted', steps: [{atMs: 0, domains: ['a'], revision: 6}, {
				atMs: 10, domains: [], era: 1, revision: 2,
			}, {
				atMs: 20, domains: ['a'], era: 1, revision: 3,
			}, {
				atMs: 30, domains: [], era: 1, revision: 4,
			}], nowMs: 30, inForce: [],
		},
		{
			name: 'one that a peer retains', steps: [{
				atMs: 0, domains: [], era: 1, revision: 6, retained: [{domain: 'a', leftMs: 2000}],
			}], nowMs: 1999, inForce: ['a'],
		},
		{
			name: 'one that a peer retains when the own read is newer', steps: [{
				atMs: 0, domains: [], era: 1, revision: 8,
			}, {
				atMs: 0, domains: [], era: 1, revision: 6, retained: [{domain: 'a', leftMs: 2000}],
			}], nowMs: 1999, inForce: ['a'],
		},
		{
			name: 'one that peers retain again and again', steps: [0, 1000].map(atMs => ({
				atMs, domains: [], era: 1, revision: 6, retained: [{domain: 'a', leftMs: 2000}],
			})), nowMs: 2000, inForce: [],
		},
		{
			name: 'one that a peer would retain for longer than is allowed', steps: [{
				atMs: 0, domains: [], era: 1, revision: 6, retained: [{domain: 'a', leftMs: 1e9}],
			}], nowMs: 5000, inForce: [],
		},
		{
			name: 'an older set that was accepted under a higher generation', steps: [{atMs: 0, domains: ['a'], revision: 9e6}, {
				atMs: 10, domains: ['b'], revision: 7, generation: 1,
			}], nowMs: 5010, inForce: ['b'],
		},
	])('keeps in force $name', ({steps, nowMs, inForce}) => {
		const evacuations = new Evacuations(retentionMs);
		for (const step of steps) {
			evacuations.offer(createSet(step), step.atMs);
		}

		expect(evacuations.listInForce(nowMs)).toEqual(inForce);
		expect(['a', 'b'].filter(domain => evacuations.isEvacuated(domain, nowMs))).toEqual(inForce);
	});

	// Guards against an order of sets, deletions, restorations and messages that leaves an instance with an older set, or that lets go of an evacuation too early.
	it('ends with the newest set on all instances, and loses no evacuation to a restoration before its time', () => {
		const step = fc.oneof(
			fc.record({kind: fc.constantFrom('set', 'delete'), domain: fc.constantFrom('a', 'b', 'c')}),
			fc.record({kind: fc.constant('restore'), back: fc.nat(6)}),
			fc.record({kind: fc.constant('read'), instance: fc.nat(3)}),
			fc.record({
				kind: fc.constant('send'), from: fc.nat(3), to: fc.nat(3), delay: fc.nat(8),
			}),
		);
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
			const instances = Array.from({length: 4}, () => new Evacuations(retentionMs));
			/** States of the registry by revision, as in a copy of it. */
			let history: string[][] = [[]];
			let era = 0;
			let now = 0;
			const messages: Array<{to: Evacuations; set: EvacuationSet; at: number}> = [];
			const read = (): EvacuationSet => ({
				generation: 0, era, revision: history.length, domains: history.at(-1) ?? [],
			});
			const deliver = () => {
				for (const {to, set} of messages.filter(({at}) => at === now)) {
					to.offer(set, now);
				}
			};

			for (const given of steps) {
				now++;
				deliver();
				if ('domain' in given) {
					const others = (history.at(-1) ?? []).filter(domain => domain !== given.domain);
					history.push(given.kind === 'set' ? [...others, given.domain] : others);
				} else if ('back' in given) {
					const restoredAt = now;
					const before = instances.map(instance => instance.listInForce(restoredAt));
					history = history.slice(0, Math.max(1, history.length - given.back));
					era++;
					for (const [index, instance] of instances.entries()) {
						instance.offer(read(), now);
						expect(instance.listInForce(now)).toEqual(expect.arrayContaining(before[index] ?? []));
					}
				} else if ('instance' in given) {
					instances[given.instance]?.offer(read(), now);
				} else {
					const [from, to] = [instances[given.from], instances[given.to]];
					if (from?.isKnown && to !== undefined) {
						messages.push({to, set: from.createSet(now), at: now + given.delay});
					}
				}
			}

			instances[0]?.offer(read(), now);
			for (const instance of instances) {
				instance.offer(instances[0]?.createSet(now) ?? read(), now);
			}

			// Messages that are late cannot bring back what they say.
			for (let waitedMs = 0; waitedMs < 10; waitedMs++) {
				now++;
				deliver();
			}

			now += 2 * retentionMs;
			for (const instance of instances) {
				expect(instance.order).toEqual({generation: 0, era, revision: history.length});
				expect(instance.listInForce(now)).toEqual([...(history.at(-1) ?? [])].sort());
			}
		}), {seed: 17, numRuns: 500});
	});
});
