import {describe, expect, it} from 'vitest';
import {groupHosts} from './group-hosts.js';

const slots = new Map([['a', 80], ['b', 40], ['c', 50]]);

// Guards against a host name with most of the traffic that gets as few instances as one without any.
describe('groupHosts', () => {
	it.each([
		{name: 'keeps host names of different services apart', hosts: {h: ['a'], i: ['b']}, expected: ['h: 80', 'i: 40']},
		{name: 'joins host names of one service', hosts: {h: ['a'], i: ['a'], j: ['b']}, expected: ['h i: 80', 'j: 40']},
		{
			name: 'joins host names through a split between services', hosts: {
				h: ['a'], i: ['b'], j: ['a', 'b'], k: ['c'],
			}, expected: ['h i j: 120', 'k: 50'],
		},
		{name: 'counts a service without targets as none', hosts: {h: ['x']}, expected: ['h: 0']},
		{name: 'returns no group without host names', hosts: {}, expected: []},
	])('$name, in any order', ({hosts, expected}) => {
		const listed = Object.entries(hosts as Record<string, string[]>).map(([host, services]) => ({host, services}));
		for (const order of [listed, listed.toReversed()]) {
			expect(groupHosts(order, slots).map(group => `${group.hosts.join(' ')}: ${group.slots}`).sort()).toEqual(expected);
			expect(groupHosts(order, slots).every(({name, hosts: [first]}) => name === first)).toBe(true);
		}
	});
});
