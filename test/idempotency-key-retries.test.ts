import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';
import {Caller} from '../tools/truth/caller.js';

describe('retries with an idempotency key', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 3, services: ['chairbook'], targetsPerService: 2, serviceTimeMs: () => 20,
	});
	const caller = new Caller({service: 'chairbook', routePorts: []});

	beforeAll(async () => {
		await site.start();
	});
	afterAll(async () => {
		await caller.close();
		site.dispose();
	});

	const getEntry = (index: number) => `127.0.0.1:${site.instances[index]?.dataPort}`;
	const sendBooking = async (index: number, headers: Record<string, string>) => caller.send({
		method: 'POST', entry: getEntry(index), headers, path: '/bookings',
	});
	const countRuns = (key: string) => [...site.targets.values()].flatMap(target => target.records).filter(record => record.idempotencyKey === key && record.startedAt !== undefined).length;

	it.each([
		{at: 0, agoMs: undefined, name: 'the same entry, without a first-sent header'},
		{at: 0, agoMs: '20', name: 'the same entry'},
		{at: 1, agoMs: '20', name: 'another entry'},
		{at: 2, agoMs: undefined, name: 'a third entry, without a first-sent header'},
	])('replays the stored response at $name', async ({at, agoMs}) => {
		const key = randomUUID();
		const first = await sendBooking(0, {'idempotency-key': key});
		const retry = await sendBooking(at, {'idempotency-key': key, ...(agoMs !== undefined && {'rattansill-first-sent-ms-ago': agoMs})});
		expect([first.status, retry.status]).toEqual([200, 200]);
		expect(retry.responseRequestId).toBe(first.requestId);
		expect(countRuns(key)).toBe(1);
	});

	it('waits for a first attempt that is in flight at another entry', async () => {
		const key = randomUUID();
		const pendingFirst = sendBooking(0, {'idempotency-key': key, 'x-service-ms': '400'});
		await sleep(150);
		const retry = await sendBooking(1, {'idempotency-key': key, 'rattansill-first-sent-ms-ago': '150', 'x-service-ms': '400'});
		const first = await pendingFirst;
		expect([first.status, retry.status]).toEqual([200, 200]);
		expect(countRuns(key)).toBe(1);
	});

	it('reports "ran" when the response was too large to be stored', async () => {
		const key = randomUUID();
		await sendBooking(0, {'idempotency-key': key, 'x-answer-bytes': '8000'});
		expect(await sendBooking(1, {'idempotency-key': key})).toMatchObject({status: 409, outcome: 'ran'});
		expect(countRuns(key)).toBe(1);
	});

	it.each([
		{
			name: 'a key first sent before the processes started', headers: {'idempotency-key': randomUUID(), 'rattansill-first-sent-ms-ago': '500000'}, status: 409, outcome: 'unknown',
		},
		{
			name: 'a malformed key', headers: {'idempotency-key': 'a b'}, status: 400, outcome: 'not run',
		},
		{
			name: 'a malformed age', headers: {'idempotency-key': 'k', 'rattansill-first-sent-ms-ago': '-1'}, status: 400, outcome: 'not run',
		},
	] as Array<{name: string; headers: Record<string, string>; status: number; outcome: string}>)('answers $name with $status', async ({headers, status, outcome}) => {
		expect(await sendBooking(0, headers)).toMatchObject({status, outcome});
	});

	it('reports "unknown" once the entry that received the first attempt has been killed', async () => {
		const key = randomUUID();
		const pendingFirst = sendBooking(0, {'idempotency-key': key, 'x-service-ms': '2000'});
		await sleep(200);
		await site.entries[0]?.stop('SIGKILL');
		const first = await pendingFirst;
		expect(first.status).toBe(0);
		expect(await sendBooking(1, {'idempotency-key': key, 'rattansill-first-sent-ms-ago': '300'})).toMatchObject({status: 409, outcome: 'unknown'});
		expect(countRuns(key)).toBe(1);
	});
});
