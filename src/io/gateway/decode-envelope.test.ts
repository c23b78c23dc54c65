import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import * as z from 'zod/mini';
import {createJsonMutations} from '../../../test/support/create-json-mutations.js';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {MemberState} from '../../common/gateway/member-state.js';
import {decodeEnvelope} from './decode-envelope.js';

const member = ['a', 'd', '10.0.0.1:1', '10.0.0.1:2', 0.5, 1, 5, 0, true, false];
const envelope = {
	from: 'a',
	incarnation: 1,
	changeNumber: 2,
	takenNumber: 3,
	digest: 4,
	members: [member],
	view: {
		configuration: 3, configurationAgeMs: 10, targets: 7, targetsAgeMs: 20,
	},
	targets: {since: 0, changed: [gatewayTarget], removed: [['i-1', 6]]},
	leaving: [{id: 'i-2', startedAt: 5}],
};

const count = z.int().check(z.nonnegative());
const amount = z.number().check(z.nonnegative());
const text = z.string().check(z.minLength(1));

/** The types of a message, stated once more and independently of the decoder. */
const messageSchema = z.strictObject({
	from: text,
	incarnation: count,
	changeNumber: count,
	takenNumber: count,
	digest: count,
	members: z.array(z.strictObject({
		id: text,
		failureDomain: z.string(),
		dataAddress: text,
		peerAddress: text,
		cores: amount,
		incarnation: count,
		revision: count,
		state: z.enum(MemberState),
		isServing: z.boolean(),
		canRead: z.boolean(),
	})),
	view: z.object({
		configuration: count, configurationAgeMs: amount, targets: count, targetsAgeMs: amount,
	}),
	targets: z.optional(z.object({
		since: count,
		changed: z.array(z.object({
			id: text, revision: count, service: text, host: text, port: count, failureDomain: z.string(), slots: count, isLeaving: z.boolean(), warmUpLeftMs: amount, startedAt: z.number(),
		})),
		removed: z.array(z.tuple([text, count], z.unknown())),
	})),
	leaving: z.optional(z.array(z.object({id: text, startedAt: z.number()}))),
});

const replaceMemberField = (index: number, value: unknown) => ({...envelope, members: [member, member.map((field, fieldIndex) => fieldIndex === index ? value : field)]});
const replaceTargetField = (fields: Record<string, unknown>) => ({...envelope, targets: {...envelope.targets, changed: [gatewayTarget, {...gatewayTarget, ...fields}]}});

describe('decodeEnvelope', () => {
	it('decodes a valid message whole', () => {
		const {message, refused} = decodeEnvelope(envelope)._unsafeUnwrap();
		expect(message).toMatchObject({...envelope, members: [{id: 'a', dataAddress: '10.0.0.1:1'}]});
		expect(refused).toEqual([]);
	});

	it.each([
		['none, as the previous version sends it', {}, true],
		['a whole number', {targetsGeneration: 1}, true],
		['a text', {targetsGeneration: '1'}, false],
		['a negative number', {targetsGeneration: -1}, false],
		['a number without an end', {targetsGeneration: 1e300}, false],
		['a newest configuration that is a whole number', {newestConfiguration: 4}, true],
		['a newest configuration that is a text', {newestConfiguration: '4'}, false],
		['a newest configuration that is negative', {newestConfiguration: -1}, false],
	])('checks optional versions: %s', (_name, fields, isTaken) => {
		expect(decodeEnvelope({...envelope, view: {...envelope.view, ...fields}}).isOk()).toBe(isTaken);
	});

	it.each([
		['port 0 of its data address', 2, '10.0.0.1:0'],
		['a port above 65535', 3, '10.0.0.1:99999'],
		['a host name as address', 2, 'host:1'],
		['an id that is a list', 0, ['a']],
		['a number without an end', 5, 1e300],
		['a negative revision', 6, -1],
		['an unknown state', 7, 9],
		['a text in place of a boolean', 8, 'true'],
		['the name of a state', 7, 'Running'],
		['the name of a property of all objects as state', 7, 'toString'],
		['a revision that is no whole number', 6, 0.5],
		['cores that are a list', 4, [1]],
		['a revision after which none can be counted', 6, Number.MAX_SAFE_INTEGER],
		['an incarnation after which none can be counted', 5, Number.MAX_SAFE_INTEGER],
	])('leaves out a member with %s and takes the others', (_name, index, value) => {
		const {message, refused} = decodeEnvelope(replaceMemberField(index, value))._unsafeUnwrap();
		expect(message.members.map(({id}) => id)).toEqual(['a']);
		expect(message.targets?.changed).toHaveLength(1);
		expect(refused).toEqual(['1 of 2 members']);
	});

	it.each([
		['a port above 65535', {port: 99_999}],
		['port 0', {port: 0}],
		['a host that is an object', {host: {}}],
		['slots that are a text', {slots: '2'}],
		['a revision without an end', {revision: 1e300}],
		['a host that is a list', {host: ['10.0.0.1']}],
		['an id that fits into no header', {id: 'i-1\r\nx: y'}],
		['an id of 201 characters', {id: 'i'.repeat(201)}],
		['no slots', {slots: 0}],
		['more slots than a target has', {slots: 1e9}],
		['a warm-up of a year', {warmUpLeftMs: 365 * 86_400_000}],
		['a port that is a text', {port: '80'}],
	])('leaves out a list with a target with %s', (_name, fields) => {
		const {message, refused} = decodeEnvelope(replaceTargetField(fields))._unsafeUnwrap();
		expect(message.targets).toBeUndefined();
		expect(message.members).toHaveLength(1);
		expect(refused).toEqual(['the list of targets']);
	});

	it.each([
		['nothing', undefined],
		['a text', 'x'],
		['no view', {...envelope, view: undefined}],
		['a view that is null', {...envelope, view: null}],
		['an age that is no number', {...envelope, view: {...envelope.view, targetsAgeMs: 'old'}}],
		['a version that is no whole number', {...envelope, view: {...envelope.view, configuration: 3.5}}],
		['a version above all whole numbers', {...envelope, view: {...envelope.view, configuration: 2 ** 53}}],
		['no sender', {...envelope, from: ''}],
	])('refuses a message that is or has %s', (_name, value) => {
		expect(decodeEnvelope(value).isErr()).toBe(true);
	});

	it.each([
		['a removed target that is a number', {targets: {...envelope.targets, removed: [5]}}],
		['a removed target that is null', {targets: {...envelope.targets, removed: [null]}}],
		['a changed target that is null', {targets: {...envelope.targets, changed: [null]}}],
		['targets that are null', {targets: null}],
	])('leaves out a list with %s and does not throw', (_name, fields) => {
		const {message, refused} = decodeEnvelope({...envelope, ...fields})._unsafeUnwrap();
		expect(message.targets).toBeUndefined();
		expect(refused).toEqual(['the list of targets']);
	});

	it('passes on no field of a target that is not known', () => {
		const {message} = decodeEnvelope(replaceTargetField({other: {}}))._unsafeUnwrap();
		expect(message.targets?.changed).toEqual([gatewayTarget, gatewayTarget]);
	});

	it('never throws, and what it accepts has the right types', () => {
		fc.assert(fc.property(createJsonMutations(envelope), value => {
			const decoded = decodeEnvelope(value);
			if (decoded.isOk()) {
				expect(messageSchema.safeParse(decoded.value.message).error).toBeUndefined();
			}
		}), {seed: 40, numRuns: 5000});
	});
});
