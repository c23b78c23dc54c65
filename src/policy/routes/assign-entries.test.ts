import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {assignEntries} from './assign-entries.js';
import {chooseInstances} from './choose-instances.js';
import {computeEntryCount} from './compute-entry-count.js';
import {sortEntries} from './sort-entries.js';

const member = fc.record({id: fc.string({minLength: 1, maxLength: 6}), failureDomain: fc.constantFrom('a', 'b', 'c', 'd')});
const fleet = fc.uniqueArray(member, {selector: item => item.id, minLength: 1, maxLength: 30});
const demand = fc.record({name: fc.string({minLength: 1, maxLength: 6}), load: fc.integer({min: 1, max: 100}), entryCount: fc.integer({min: 2, max: 6})});
const services = fc.uniqueArray(demand, {selector: item => item.name, minLength: 1, maxLength: 20});
const seed = 6;

describe('entry sets', () => {
	it('depend only on the members and services, have the requested size and span as many domains as possible', () => {
		fc.assert(fc.property(fleet, services, (members, demands) => {
			const assigned = assignEntries(demands, members);
			expect(assignEntries([...demands].reverse(), [...members].reverse())).toEqual(assigned);
			const domainCount = new Set(members.map(member => member.failureDomain)).size;
			for (const {name, entryCount} of demands) {
				const entries = assigned.get(name) ?? [];
				expect(new Set(entries).size).toBe(Math.min(entryCount, members.length));
				expect(new Set(entries.map(entry => entry.failureDomain)).size).toBe(Math.min(domainCount, entryCount, entries.length));
			}
		}), {seed});
	});

	it('keep the most loaded of 18 entries within twice the mean for many services', () => {
		const members = Array.from({length: 18}, (_, index) => ({id: `entry-${index}`, failureDomain: `domain-${index % 4}`}));
		fc.assert(fc.property(fc.integer(), start => {
			const demands = Array.from({length: 60}, (_, index) => ({name: `service-${start}-${index}`, load: 20 + (index % 3), entryCount: 3}));
			const loads = new Map<string, number>();
			for (const entries of assignEntries(demands, members).values()) {
				for (const entry of entries) {
					loads.set(entry.id, (loads.get(entry.id) ?? 0) + 1);
				}
			}

			expect(Math.max(...loads.values())).toBeLessThanOrEqual(2 * 60 * 3 / 18);
		}), {seed, numRuns: 50});
	});

	it('change by at most one entry when an instance is lost', () => {
		fc.assert(fc.property(fleet, fc.string(), fc.nat(), (members, key, index) => {
			const lost = members[index % members.length]?.id ?? '';
			const before = chooseInstances(key, members, 3).map(({id}) => id);
			const after = new Set(chooseInstances(key, members.filter(({id}) => id !== lost), 3).map(({id}) => id));
			const moved = before.filter(id => id !== lost && !after.has(id));
			expect(moved.length).toBeLessThanOrEqual(before.includes(lost) ? 1 : 0);
		}), {seed});
	});
});

describe('the number of entries', () => {
	it.each([
		{load: 20, domainCount: 4, count: 2},
		{load: 78, domainCount: 3, count: 3},
		{load: 200, domainCount: 4, count: 6},
		{load: 200, domainCount: 1, count: 5},
		{load: 100_000, domainCount: 4, count: 16},
	])('is $count for $load slots over $domainCount domains', ({load, domainCount, count}) => {
		expect(computeEntryCount(load, domainCount, {loadPerEntry: 64, maxEntries: 16})).toBe(count);
	});
});

describe('the order of the entries in a response', () => {
	it('is a permutation of the entry set', () => {
		fc.assert(fc.property(fleet, fc.nat(), (members, sequence) => {
			const sorted = sortEntries(members, {callerDomain: 'a', domainCount: 4, sequence});
			expect(new Set(sorted)).toEqual(new Set(members));
		}), {seed});
	});

	it('keeps the entries within 1.5 times the mean for equal demand of every domain', () => {
		const members = ['a', 'b', 'c', 'd', 'a'].map((failureDomain, index) => ({id: String(index), failureDomain}));
		const firsts = new Map<string, number>();
		for (let sequence = 0; sequence < 4000; sequence++) {
			const [first] = sortEntries(members, {callerDomain: 'abcd'.charAt(sequence % 4), domainCount: 4, sequence: Math.floor(sequence / 4)});
			firsts.set(first?.id ?? '', (firsts.get(first?.id ?? '') ?? 0) + 1);
		}

		expect(Math.max(...firsts.values()) / (4000 / 5)).toBeLessThan(1.5);
	});
});
