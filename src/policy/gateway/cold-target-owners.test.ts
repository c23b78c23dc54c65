import {describe, expect, it} from 'vitest';
import {MemberState} from '../../common/gateway/member-state.js';
import {ColdTargetOwners} from './cold-target-owners.js';

const settledAt = 10_000;

const findOwners = (coresById: Readonly<Record<string, number>>, targetId: string): string[] => {
	const listed = Object.entries(coresById).map(([id, cores]) => ({id, cores, state: MemberState.Running}));
	const members = {changeNumber: 1, isJoined: true, listNotLeft: () => listed};
	return Object.keys(coresById).filter(selfId => new ColdTargetOwners({
		selfId, members, overshoot: 1.5, slack: 8,
	}, 0).findShare(targetId, 2, settledAt) !== undefined);
};

// Guards against cold targets that get nothing, since their owners are instances to which few callers are sent.
describe('ColdTargetOwners', () => {
	it.each([
		{
			name: 'the instances with most processor time own a target', cores: {
				a: 0.25, b: 1.5, c: 0.25, d: 1.5, e: 0.25,
			}, owners: ['b', 'd'],
		},
		{name: 'one of the others owns it beside a single large one', cores: {a: 0.25, b: 1.5}, owners: ['a', 'b']},
		{name: 'a single instance owns it', cores: {a: 0.25}, owners: ['a']},
	] as ReadonlyArray<{name: string; cores: Record<string, number>; owners: string[]}>)('$name', ({cores, owners}) => {
		expect(findOwners(cores, 't-1')).toEqual(owners);
	});

	it('divides targets among instances alike in processor time', () => {
		const cores = Object.fromEntries(Array.from({length: 8}, (_item, index) => [`e-${index}`, 1]));
		const owners = new Set(Array.from({length: 40}, (_item, index) => findOwners(cores, `t-${index}`)).flat());
		expect(owners.size).toBe(8);
	});
});
