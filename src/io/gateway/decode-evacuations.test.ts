import {describe, expect, it} from 'vitest';
import type {ViewVersion} from '../../common/gateway/view-version.js';
import {decodeEvacuations} from './decode-evacuations.js';

const view: ViewVersion = {
	configuration: 1, configurationAgeMs: 0, targets: 1, targetsAgeMs: 0,
};
const version = {
	generation: 0, era: 1, revision: 7, ageMs: 20,
};
const set = {
	generation: 0, era: 1, revision: 7, domains: ['a'],
};

describe('decodeEvacuations', () => {
	// Guards against a part of a set that is taken for all of it, and against a message that is lost with it.
	it.each([
		['none, of an older version', undefined, undefined, true],
		['a version without a set', version, undefined, true],
		['a set', version, set, true],
		['a set with retained domains', version, {...set, retained: [{domain: 'b', leftMs: 1.5}]}, true],
		['a set without a version', undefined, set, false],
		['a version without an era', {...version, era: undefined}, undefined, false],
		['a version that is null', null, undefined, false],
		['a negative revision', {...version, revision: -1}, undefined, false],
		['a set without a revision', version, {...set, revision: 0}, false],
		['a domain that is a number', version, {...set, domains: ['a', 1]}, false],
		['an empty domain', version, {...set, domains: ['']}, false],
		['a retention that is negative', version, {...set, retained: [{domain: 'b', leftMs: -1}]}, false],
		['a set that is a list', version, ['a'], false],
	])('of %s', (_name, peerVersion, peerSet, isValid) => {
		const decoded = decodeEvacuations({...view, evacuations: peerVersion as ViewVersion['evacuations']}, peerSet);
		expect(decoded).toEqual(isValid
			? {view: {...view, ...(peerVersion !== undefined && {evacuations: peerVersion})}, set: peerSet, isValid}
			: {view, set: undefined, isValid});
	});
});
