import {describe, expect, it} from 'vitest';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberTable} from './member-table.js';

const createMember = (incarnation: number, counter: number, isServing = true): GatewayMember => ({
	id: 'e', failureDomain: 'd', dataAddress: 'h:1', peerAddress: 'h:2', incarnation, counter, isServing, canRead: true,
});

describe('MemberTable', () => {
	it.each([
		['a higher counter', createMember(1, 2), createMember(1, 3), 3],
		['a lower counter', createMember(1, 3), createMember(1, 2), 3],
		['a replaced instance', createMember(1, 9), createMember(2, 0), 0],
		['an old record of a replaced instance', createMember(2, 0), createMember(1, 9), 0],
	])('with %s keeps the newer record', (_name, first, second, counter) => {
		const table = new MemberTable();
		table.offer(first, 0);
		table.offer(second, 10);
		expect(table.members.map(member => member.counter)).toEqual([counter]);
	});

	it.each([
		['heard of lately', 900, false, 1],
		['silent', 1100, false, 0],
		['suspect', 0, true, 0],
	])('counts an instance that is %s', (_name, now, isSuspect, live) => {
		const table = new MemberTable();
		table.offer(createMember(1, 1), 0);
		if (isSuspect) {
			table.markSuspect('e');
		}

		expect(table.listLive(now, 1000)).toHaveLength(live);
	});

	it('counts a suspect again once it is heard of', () => {
		const table = new MemberTable();
		table.offer(createMember(1, 1), 0);
		table.markSuspect('e');
		table.offer(createMember(1, 2), 5);
		expect(table.listLive(5, 1000)).toHaveLength(1);
	});
});
