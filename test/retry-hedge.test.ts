import {
	afterAll, afterEach, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';
import {defaultTargetBehavior} from '../tools/standins/target/default-target-behavior.js';
import {RunEnd} from '../tools/standins/target/run-end.js';

const requestCount = 60;

describe('retries and hedges', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 1, services: ['lacefront', 'chairbook'], targetsPerService: 3, serviceTimeMs: () => 3,
		templates: {catalogue: {retryRatio: 0.5, hedgeRatio: 0.5, hedgeAfterMs: 20}},
	});
	const sendRequest = async (service: string, options: {readonly method: 'GET' | 'POST'; readonly path: string; readonly headers?: Record<string, string>}) => {
		const response = await request(`http://127.0.0.1:${site.instances[0]?.dataPort}${options.path}`, {
			method: options.method, headers: {host: service, ...options.headers}, body: options.method === 'POST' ? 'headpiece=12' : undefined,
		});
		await response.body.dump();
		return response;
	};

	const countRunsByEnd = async (end: RunEnd) => {
		const records = await site.fleet.readRecords();
		return records.filter(record => record.end === end).length;
	};

	beforeAll(async () => {
		await site.start();
		// Retry and hedge budgets are ratios of first attempts, so a new entry must record some before it may retry.
		for (let index = 0; index < requestCount; index++) {
			await sendRequest('lacefront', {method: 'GET', path: `/styles/${index}`});
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
		{title: 'sheds load', behavior: {isShedding: true}, end: RunEnd.Refused},
	])('answers every lookup while one of three targets $title', async ({behavior, end}) => {
		await site.fleet.setBehavior(['lacefront-1'], behavior);
		// Statuses are checked after the poll, because a poll calls a function that throws again.
		const statuses = new Set<number>();
		const sendLookups = async () => {
			for (let index = 0; index < requestCount; index++) {
				const {statusCode} = await sendRequest('lacefront', {method: 'GET', path: `/styles/${index}`});
				statuses.add(statusCode);
			}

			return countRunsByEnd(end);
		};

		// The target may still be ejected for failures of the previous case.
		await expect.poll(sendLookups, {timeout: 20_000}).toBeGreaterThan(0);
		expect([...statuses]).toEqual([200]);
	});

	it('never sends a non-idempotent request twice when its target fails', async () => {
		await site.fleet.setBehavior([], {isFailingFast: true});
		const response = await sendRequest('chairbook', {method: 'POST', path: '/bookings'});
		expect(response.statusCode).toBe(500);
		expect(await countRunsByEnd(RunEnd.Failed)).toBe(1);
	});

	it('does not retry a request that is itself a retry of the previous hop, and marks the response as retried', async () => {
		await site.fleet.setBehavior([], {isFailingFast: true});
		const response = await sendRequest('lacefront', {method: 'GET', path: '/styles/1', headers: {'rattansill-attempt': '1'}});
		expect(response.statusCode).toBe(500);
		expect(await countRunsByEnd(RunEnd.Failed)).toBe(1);
		expect(response.headers['rattansill-retried']).toBe('true');
	});

	it('hedges a lookup that is slow at its target, and cancels the slower attempt', async () => {
		await site.fleet.setBehavior(['lacefront-1'], {slowFactor: 300});
		const sendBatch = async () => {
			const responses = await Promise.all(Array.from({length: 6}, async (_, index) => sendRequest('lacefront', {method: 'GET', path: `/styles/${index}`})));
			expect(responses.every(response => response.statusCode === 200)).toBe(true);
			return countRunsByEnd(RunEnd.Cancelled);
		};

		// The slow target may still be ejected for earlier failures.
		await expect.poll(sendBatch, {timeout: 10_000}).toBeGreaterThan(0);
		await expect.poll(async () => countRunsByEnd(RunEnd.Pending)).toBe(0);
	});
});
