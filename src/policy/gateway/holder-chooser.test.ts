import {describe, expect, it} from 'vitest';
import type {ConfigurationHolder} from '../../common/gateway/configuration-holder.js';
import {HolderChooser} from './holder-chooser.js';

const first: ConfigurationHolder = {
	id: 'a', incarnation: 1, peerAddress: '10.0.0.1:2', announcedVersion: 6,
};
const second: ConfigurationHolder = {...first, id: 'b', peerAddress: '10.0.0.2:2'};
const nobody = new Set<string>();

describe('HolderChooser', () => {
	it('chooses the preferred holder that is not being asked', () => {
		const chooser = new HolderChooser();
		expect(chooser.chooseHolder([first, second], nobody, 0)).toBe(first);
		expect(chooser.chooseHolder([first, second], new Set(['a']), 0)).toBe(second);
		expect(chooser.chooseHolder([first], new Set(['a']), 0)).toBeUndefined();
	});

	it('asks the other holders, and one that was refused not again and again', () => {
		const chooser = new HolderChooser();
		chooser.refuse(first);
		expect(chooser.chooseHolder([first, second], nobody, 0)).toBe(second);
		chooser.refuse(second);
		expect(chooser.chooseHolder([first, second], nobody, 0)).toBeUndefined();
		expect(chooser.chooseHolder([second, first], nobody, 0)).toBeUndefined();
	});

	it.each([
		['announces another version', {announcedVersion: 7}],
		['announces a lower version that is still newer', {announcedVersion: 5}],
		['was started again', {incarnation: 2}],
	])('asks a holder that was refused again once it %s', (_name, changes) => {
		const chooser = new HolderChooser();
		chooser.refuse(first);
		const changed = {...first, ...changes};
		expect(chooser.chooseHolder([changed], nobody, 0)).toBe(changed);
	});

	it.each([
		{now: 299, chosen: [second, undefined]},
		{now: 300, chosen: [first, first]},
	])('asks a holder that could not be reached only after the others, and not before its time, at $now ms', ({now, chosen}) => {
		const chooser = new HolderChooser();
		chooser.excludeUntil(first, 300);
		expect([[first, second], [first]].map(holders => chooser.chooseHolder(holders, nobody, now))).toEqual(chosen);
	});

	it('forgets the refusal of a holder that has announced no newer version in between', () => {
		const chooser = new HolderChooser();
		chooser.refuse(first);
		expect(chooser.chooseHolder([], nobody, 0)).toBeUndefined();
		expect(chooser.chooseHolder([first], nobody, 0)).toBe(first);
	});
});
