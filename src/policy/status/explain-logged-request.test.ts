import {describe, expect, it} from 'vitest';
import type {LoggedEvent} from '../../common/logged-event.js';
import {explainLoggedRequest} from './explain-logged-request.js';

const createRequest = (fields: Record<string, unknown>): LoggedEvent => ({
	time: '2026-01-01T00:00:10.000Z', instance: 'e-1', event: 'request-explained', service: 's', outcome: 'ran', tookMs: 1000, configurationVersion: 4, targetsAgeMs: 900, ...fields,
});
const attempt = {
	target: 'i-1', end: 'answered', afterMs: 5, tookMs: 995, slowdown: 4, reportAgeMs: 3,
};

describe('explainLoggedRequest', () => {
	it.each([
		['a slow target', {request: 'a', status: 200, attempts: [attempt]}, 'its time was spent at i-1'],
		['a long wait', {request: 'a', status: 200, attempts: [{...attempt, afterMs: 700, tookMs: 300}]}, 'it waited for a free target'],
		['a refusal without a target', {
			request: 'a', error: 'queue-full', detail: 'd', outcome: 'not run', attempts: [],
		}, 'it was not sent to any target'],
		['a lost response', {
			request: 'a', error: 'connection-lost', detail: 'd', outcome: 'unknown', attempts: [{...attempt, end: 'lost'}],
		}, 'its last target i-1 ended it as lost'],
	])('names the cause of %s', (_name, fields, cause) => {
		expect(explainLoggedRequest([createRequest(fields)], 'a')).toContain(`  cause: ${cause}`);
	});

	it('lists related events of the target and the instance', () => {
		const lines = explainLoggedRequest([
			createRequest({request: 'a', error: 'connection-lost', attempts: [{...attempt, end: 'lost'}]}),
			createRequest({request: 'b', time: '2026-01-01T00:00:11.000Z', attempts: [{...attempt, end: 'lost'}]}),
			createRequest({request: 'c', time: '2026-01-01T00:00:20.000Z', attempts: [{...attempt, end: 'lost'}]}),
			createRequest({event: 'registry-lost'}),
			createRequest({event: 'peer-silent', instance: 'e-2'}),
		], 'a');
		expect(lines).toContain('  other attempts at i-1 within 2000 ms: 1 lost');
		expect(lines.filter(line => line.endsWith('registry-lost'))).toHaveLength(1);
		expect(lines.filter(line => line.endsWith('peer-silent'))).toHaveLength(0);
	});

	it('returns nothing for an unknown request', () => {
		expect(explainLoggedRequest([createRequest({request: 'a', attempts: []})], 'z')).toEqual([]);
	});
});
