import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createJsonMutations} from '../../../test/support/create-json-mutations.js';
import {gatewayConfiguration} from '../../../test/support/gateway-configuration.js';
import {gatewayConfigurationSchema} from '../../common/gateway/gateway-configuration-schema.js';
import {decodePublishedConfiguration} from './decode-published-configuration.js';
import {packConfiguration} from './pack-configuration.js';
import {unpackConfiguration} from './unpack-configuration.js';

const packText = (text: string): string => deflateRawSync(Buffer.from(text)).toString('base64');
const packed = packConfiguration(gatewayConfiguration);
const {limits} = gatewayConfiguration;

// Guards against an answer of a peer that ends the process, or puts something in force that is no configuration.
describe('decodePublishedConfiguration', () => {
	it('decodes a newer configuration with its age', () => {
		expect(decodePublishedConfiguration({packed, ageMs: 12}, 2)._unsafeUnwrap()).toEqual({configuration: gatewayConfiguration, ageMs: 12});
	});

	it.each([
		['null', null, '(root)'],
		['a text', 'x', '(root)'],
		['an empty object', {}, 'packed'],
		['a packed value that is a number', {packed: 5, ageMs: 0}, 'packed'],
		['a packed value that does not decompress', {packed: 'zzz', ageMs: 0}, 'packed'],
		['a packed value that is no JSON', {packed: packText('{'), ageMs: 0}, 'packed'],
		['a packed value of 5 MB', {packed: packText(' '.repeat(5_000_000)), ageMs: 0}, 'packed'],
		['a packed value nested 100,000 deep', {packed: packText('['.repeat(100_000) + ']'.repeat(100_000)), ageMs: 0}, '(root)'],
		['a packed null', {packed: packText('null'), ageMs: 0}, '(root)'],
		['a configuration with an invalid limit', {packed: packText(JSON.stringify({...gatewayConfiguration, limits: {...limits, idleTimeoutMs: 'x'}})), ageMs: 0}, 'limits.idleTimeoutMs'],
		['no age', {packed}, 'ageMs'],
		['an age that is a text', {packed, ageMs: '5'}, 'ageMs'],
		['a negative age', {packed, ageMs: -1}, 'ageMs'],
		['an age without an end', {packed, ageMs: Infinity}, 'ageMs'],
	])('refuses %s and names the field', (_name, value, field) => {
		expect(decodePublishedConfiguration(value, 2)._unsafeUnwrapErr().field).toBe(field);
	});

	it.each([3, 4])('refuses version 3 when a version above %i was asked for', version => {
		expect(decodePublishedConfiguration({packed, ageMs: 0}, version)._unsafeUnwrapErr()).toEqual({field: 'version', value: '3', message: `must be above ${version}`});
	});

	// Guards against checks of a large configuration that has arrived from another peer meanwhile, on an instance that its neighbours wait for.
	it.each([
		{answered: 3, active: 3, isUnpacked: false},
		{answered: 3, active: 2, isUnpacked: true},
		{answered: undefined, active: 3, isUnpacked: true},
	])('unpacks version $answered when $active is active by now: $isUnpacked', ({answered, active, isUnpacked}) => {
		const decoded = decodePublishedConfiguration({packed, ageMs: 0, version: answered}, 2, active);
		expect(decoded._unsafeUnwrap()?.configuration.version).toBe(isUnpacked ? 3 : undefined);
	});

	it('never throws, whatever the answer is', () => {
		fc.assert(fc.property(createJsonMutations({packed, ageMs: 12}), value => {
			const decoded = decodePublishedConfiguration(value, 2);
			if (decoded.isOk()) {
				expect(decoded.value?.configuration).toEqual(gatewayConfiguration);
				expect(decoded.value?.ageMs).toBeGreaterThanOrEqual(0);
			}
		}), {seed: 41, numRuns: 2000});
	});
});

describe('unpackConfiguration', () => {
	it('never throws, whatever is packed, and what it accepts is valid', () => {
		fc.assert(fc.property(createJsonMutations(gatewayConfiguration), value => {
			const unpacked = unpackConfiguration(packText(JSON.stringify(value)));
			if (unpacked.isOk()) {
				expect(gatewayConfigurationSchema.safeParse(unpacked.value).success).toBe(true);
			}
		}), {seed: 42, numRuns: 3000});
	});

	it('never throws, whatever the text is', () => {
		fc.assert(fc.property(fc.oneof(fc.string(), fc.base64String(), fc.uint8Array().map(bytes => Buffer.from(bytes).toString('base64'))), text => {
			expect(unpackConfiguration(text).isErr()).toBe(true);
		}), {seed: 43, numRuns: 2000});
	});
});
