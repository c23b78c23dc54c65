import {
	afterAll, afterEach, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';
import {defaultTargetBehavior} from '../tools/standins/target/default-target-behavior.js';
import {RunEnd} from '../tools/standins/target/run-end.js';

const requests = 60;

describe('retries and hedges', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 1, services: ['lacefront', 'chairbook'], targetsPerService: 3, serviceTimeMs: () => 3,
		templates: {catalogue: {retryRatio: 0.5, hedgeRatio: 0.5, hedgeAfterMs: 20}},
	});
	const send = async (service: string, options: {readonly method: 'GET' | 'POST'; readonly path: string; readonly headers?: Record<string, string>}) => {
		const answer = await request(`http://127.0.0.1:${site.instances[0]?.dataPort}${options.path}`, {
			method: options.method, headers: {host: service, ...options.headers}, body: options.method === 'POST' ? 'headpiece=12' : undefined,
		});
		await answer.body.dump();
		return answer;
	};

	const countEnds = async (end: RunEnd) => {
		const records = await site.fleet.readRecords();
		return records.filter(record => record.end === end).length;
	};

	beforeAll(async () => {
		await site.start();
		// The budgets are shares of first tries, so a new entry has to see some before it may try again.
		for (let index = 0; index < requests; index++) {
			await send('lacefront', {method: 'GET', path: `/styles/${index}`});
		}

		await site.fleet.clearLedgers();
	});
	afterEach(async () => {
		await site.fleet.setBehavior([], defaultTargetBehavior);
		await site.fleet.clearLedgers();
	});
	afterAll(() => {
		site.dispose();
	});

	it.each([
		{title: 'fails fast', behavior: {isFailingFast: true}, end: RunEnd.Failed},
		{title: 'sheds', behavior: {isShedding: true}, end: RunEnd.Refused},
	])('answers every lookup while one of three targets $title', async ({behavior, end}) => {
		await site.fleet.setBehavior(['lacefront-1'], behavior);
		// A poll repeats a function that throws, so that statuses are checked after it.
		const statuses = new Set<number>();
		const sendLookups = async () => {
			for (let index = 0; index < requests; index++) {
				const {statusCode} = await send('lacefront', {method: 'GET', path: `/styles/${index}`});
				statuses.add(statusCode);
			}

			return countEnds(end);
		};

		// The target may still be left out for the failures of the case before.
		await expect.poll(sendLookups, {timeout: 20_000}).toBeGreaterThan(0);
		expect([...statuses]).toEqual([200]);
	});

	it('never sends a booking twice when its target fails', async () => {
		await site.fleet.setBehavior([], {isFailingFast: true});
		const answer = await send('chairbook', {method: 'POST', path: '/bookings'});
		expect(answer.statusCode).toBe(500);
		expect(await countEnds(RunEnd.Failed)).toBe(1);
	});

	it('leaves the retry to the hop that made a later try, and says when it has tried', async () => {
		await site.fleet.setBehavior([], {isFailingFast: true});
		const later = await send('lacefront', {method: 'GET', path: '/styles/1', headers: {'rattansill-attempt': '1'}});
		expect(later.statusCode).toBe(500);
		expect(await countEnds(RunEnd.Failed)).toBe(1);
		expect(later.headers['rattansill-retried']).toBe('true');
	});

	it('hedges a lookup that a slow target holds, and cancels the slower try', async () => {
		await site.fleet.setBehavior(['lacefront-1'], {slowFactor: 300});
		const sendBatch = async () => {
			const answers = await Promise.all(Array.from({length: 6}, async (_, index) => send('lacefront', {method: 'GET', path: `/styles/${index}`})));
			expect(answers.every(answer => answer.statusCode === 200)).toBe(true);
			return countEnds(RunEnd.Cancelled);
		};

		// The slow target may still be left out for its earlier failures.
		await expect.poll(sendBatch, {timeout: 10_000}).toBeGreaterThan(0);
		await expect.poll(async () => countEnds(RunEnd.Pending)).toBe(0);
	});
});
