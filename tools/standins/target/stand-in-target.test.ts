import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {request} from 'undici';
import type {LoadReport} from '../../../src/common/load-report.js';
import {ReportMode} from './report-mode.js';
import {RunEnd} from './run-end.js';
import {StandInTarget} from './stand-in-target.js';
import type {TargetBehavior} from './target-behavior.js';

describe('a stand-in target', () => {
	let target: StandInTarget;
	const start = async (behavior: Partial<TargetBehavior> = {}, slots = 1) => {
		target = new StandInTarget({id: 'target-1', slots, behavior});
		await target.listener.listen({host: '127.0.0.1', port: 0});
	};

	const send = async (headers: Record<string, string> = {}, signal?: AbortSignal) => {
		const response = await request(`http://127.0.0.1:${target.listener.port}/styles`, {
			method: 'POST', headers, body: 'four', signal,
		});
		return {status: response.statusCode, headers: response.headers, text: await response.body.text()};
	};

	const fetchLoad = async () => {
		const response = await request(`http://127.0.0.1:${target.listener.port}/load`);
		return await response.body.json() as LoadReport;
	};

	afterEach(() => {
		target.dispose();
	});

	it.each([
		{
			name: 'completes', behavior: {}, headers: {}, status: 200, end: RunEnd.Completed, isRun: true,
		},
		{
			name: 'sheds', behavior: {isShedding: true}, headers: {}, status: 503, end: RunEnd.Refused, isRun: false,
		},
		{
			name: 'fails fast', behavior: {isFailingFast: true}, headers: {}, status: 500, end: RunEnd.Failed, isRun: false,
		},
		{
			name: 'expires', behavior: {}, headers: {'x-service-ms': '500', 'x-request-timeout-ms': '20'}, status: 504, end: RunEnd.Expired, isRun: true,
		},
	])('$name with status $status', async ({behavior, headers, status, end, isRun}) => {
		await start(behavior);
		const response = await send({...headers as Record<string, string>, 'x-request-id': 'r1'});
		expect(response.status).toBe(status);
		const [record] = target.records;
		expect(record).toMatchObject({
			requestId: 'r1', end, bodyBytes: 4, isBodyWhole: true,
		});
		expect(record?.startedAt !== undefined).toBe(isRun);
		expect(target.inFlight).toBe(0);
		expect(response.headers['x-not-run']).toBe(status === 503 ? 'true' : undefined);
	});

	it('runs at most as many requests as it has slots and refuses those beyond its queue', async () => {
		await start({queueLimit: 1});
		const responses = await Promise.all([send({'x-service-ms': '30'}), send({'x-service-ms': '30'}), send({'x-service-ms': '30'})]);
		expect(responses.map(response => response.status).toSorted((a, b) => a - b)).toEqual([200, 200, 503]);
		const ran = target.records.filter(record => record.end === RunEnd.Completed);
		const [first, second] = ran.toSorted((a, b) => a.startedAt! - b.startedAt!);
		expect(second?.startedAt).toBeGreaterThanOrEqual(first?.endedAt ?? 0);
	});

	it.each([{waits: false}, {waits: true}])('frees the slot or queue position of a caller that closes, waiting: $waits', async ({waits}) => {
		await start();
		// Holds the only slot until after the other caller has closed.
		const first = waits ? send({'x-service-ms': '2000'}) : undefined;
		await vi.waitFor(() => {
			expect(target.inFlight).toBe(waits ? 1 : 0);
		});
		const caller = new AbortController();
		const cancelled = expect(send({'x-service-ms': '5000', 'x-request-id': 'gone'}, caller.signal)).rejects.toThrow(/abort/v);
		await vi.waitFor(() => {
			expect({inFlight: target.inFlight, queued: target.queued}).toEqual({inFlight: 1, queued: waits ? 1 : 0});
		});
		caller.abort();
		await cancelled;
		await vi.waitFor(() => {
			expect(target.records.find(record => record.requestId === 'gone')?.end).toBe(RunEnd.Cancelled);
		});
		expect({inFlight: target.inFlight, queued: target.queued}).toEqual({inFlight: waits ? 1 : 0, queued: 0});
		await first;
		expect(await send()).toMatchObject({status: 200});
		expect(target.records.find(record => record.requestId === 'gone')).toMatchObject({end: RunEnd.Cancelled, startedAt: waits ? undefined : expect.any(Number) as number});
	});

	it.each([
		{mode: ReportMode.Honest, expected: {inFlight: 1, queued: 1}},
		{mode: ReportMode.Frozen, expected: {inFlight: 0, queued: 0}},
		{mode: ReportMode.Inverted, expected: {inFlight: 0, queued: 0}},
		{mode: ReportMode.Delayed, expected: {inFlight: 0, queued: 0}},
	])('reports in mode $mode', async ({mode, expected}) => {
		await start({reportDelayMs: 60_000});
		target.setBehavior({reportMode: mode});
		const running = [send({'x-service-ms': '300'}), send({'x-service-ms': '1'})];
		await vi.waitFor(() => {
			expect(target.queued).toBe(1);
		});
		expect(await fetchLoad()).toMatchObject(expected);
		const responses = await Promise.all(running);
		expect(responses[0]?.headers['endpoint-load-metrics']).toMatch(/^TEXT .*named_metrics\.in_flight=\d/v);
		expect(target.stats.probeTimes).toHaveLength(1);
	});

	it('signals on every response that it is draining', async () => {
		await start({isDraining: true});
		expect(await send()).toMatchObject({headers: {'x-draining': 'true'}});
		await expect(fetchLoad()).resolves.toMatchObject({draining: true});
	});
});
