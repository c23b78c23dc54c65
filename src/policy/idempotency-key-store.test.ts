import fc from 'fast-check';
import {
	describe, expect, it,
} from 'vitest';
import {Outcome} from '../common/outcome.js';
import {IdempotencyKeyStore} from './idempotency-key-store.js';
import {parseKeyHeaders} from './parse-key-headers.js';
import {MembershipHistory} from './membership-history.js';

const createClaim = (change: Partial<Parameters<IdempotencyKeyStore['acceptClaim']>[0]> = {}) => ({
	service: 's', key: 'k', fingerprint: 'f', claimId: '1', holder: 'a', firstSentAgoMs: undefined, memoryMs: 1000, ...change,
});

describe('IdempotencyKeyStore', () => {
	it.each([
		{
			name: 'an unknown key', settled: undefined, change: {key: 'other'}, at: 1, kind: 'granted',
		},
		{
			name: 'a key in flight', settled: undefined, change: {}, at: 1, kind: 'known',
		},
		{
			name: 'a key that ran', settled: Outcome.Ran, change: {}, at: 1, kind: 'known',
		},
		{
			name: 'a key whose outcome is unknown', settled: Outcome.Unknown, change: {}, at: 1, kind: 'known',
		},
		{
			name: 'a key that did not run', settled: Outcome.NotRun, change: {}, at: 1, kind: 'granted',
		},
		{
			name: 'another request with the same key', settled: Outcome.Ran, change: {fingerprint: 'g'}, at: 1, kind: 'conflict',
		},
		{
			name: 'a request sent again whose earlier grant cannot be ruled out', settled: undefined, change: {key: 'other', firstSentAgoMs: 5}, at: 1, kind: 'unvouched',
		},
		{
			name: 'a key past its retention period', settled: Outcome.Ran, change: {}, at: 1001, kind: 'granted',
		},
	])('answers $name with $kind', ({settled, change, at, kind}) => {
		const memory = new IdempotencyKeyStore({keys: 10, responseBytes: 100});
		memory.acceptClaim(createClaim(), false, 0);
		if (settled !== undefined) {
			memory.acceptSettlement({
				service: 's', key: 'k', claimId: '1', outcome: settled, answer: undefined,
			});
		}

		expect(memory.acceptClaim(createClaim({claimId: '2', ...change}), false, at).kind).toBe(kind);
	});

	it('refuses keys and drops responses beyond its limits, and is empty after the retention period', () => {
		const memory = new IdempotencyKeyStore({keys: 3, responseBytes: 10});
		const kinds = ['a', 'b', 'c', 'd'].map(key => memory.acceptClaim(createClaim({key, claimId: key}), false, 0).kind);
		expect(kinds).toEqual(['granted', 'granted', 'granted', 'full']);
		for (const key of ['a', 'b']) {
			memory.acceptSettlement({
				service: 's', key, claimId: key, outcome: Outcome.Ran, answer: {status: 200, rawHeaders: [], body: 'eeeeee=='},
			});
		}

		expect([memory.getReport('s', 'a', 1)?.answer?.body, memory.getReport('s', 'b', 1)?.answer]).toEqual(['eeeeee==', undefined]);
		expect(memory.getReport('s', 'a', 2000)).toBeUndefined();
		expect(memory.size).toBe(0);
	});

	it('ignores the settlement of another claim', () => {
		const memory = new IdempotencyKeyStore({keys: 3, responseBytes: 10});
		memory.acceptClaim(createClaim(), false, 0);
		memory.acceptSettlement({
			service: 's', key: 'k', claimId: '2', outcome: Outcome.NotRun, answer: undefined,
		});
		expect(memory.acceptClaim(createClaim({claimId: '3'}), true, 1).kind).toBe('known');
	});
});

describe('MembershipHistory', () => {
	it.each([
		{
			name: 'a stable membership', agoMs: 1000, at: 100_000, lost: [], listed: ['a', 'b'], expected: true,
		},
		{
			name: 'a first request before the membership was stable', agoMs: 99_000, at: 100_000, lost: [], listed: ['a', 'b'], expected: false,
		},
		{
			name: 'a key near the end of its retention period', agoMs: 599_000, at: 2_000_000, lost: [], listed: ['a', 'b'], expected: false,
		},
		{
			name: 'a lost member that is listed', agoMs: 1000, at: 5_000_000, lost: ['b'], listed: ['a', 'b'], expected: false,
		},
		{
			name: 'a lost member that is no longer listed', agoMs: 1000, at: 5_000_000, lost: ['b'], listed: ['a'], expected: true,
		},
		{
			name: 'a recently lost member', agoMs: 1000, at: 100_000, lost: ['b'], listed: ['a'], expected: false,
		},
	])('rules out an earlier grant with $name: $expected', ({agoMs, at, lost, listed, expected}) => {
		const view = new MembershipHistory({convergenceMs: 5000}, 0);
		view.updateMembers(new Map([['a', 1], ['b', 1]]), new Set(), 0);
		view.updateMembers(new Map([['a', 1], ['b', 1]].filter(([id]) => !lost.includes(String(id))) as Array<[string, number]>), new Set(), 10);
		view.updateListed(new Set(listed));
		expect(view.canRuleOutGrant(agoMs, 600_000, at)).toBe(expected);
	});
});

describe('parseKeyHeaders', () => {
	it('accepts or rejects any text without an exception', () => {
		fc.assert(fc.property(fc.string({maxLength: 300, unit: 'binary'}), fc.option(fc.string({unit: 'binary'}), {nil: undefined}), (key, ago) => {
			const parsed = parseKeyHeaders(key, ago);
			if (parsed.isOk()) {
				expect(parsed.value.key).toMatch(/^[!-~]{1,255}$/v);
				expect(parsed.value.firstSentAgoMs === undefined || Number.isSafeInteger(parsed.value.firstSentAgoMs)).toBe(true);
			}
		}), {seed: 17, numRuns: 1000});
	});
});
