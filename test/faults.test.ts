import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, afterEach, beforeAll, describe, expect, it,
} from 'vitest';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';
import {ProxyFaultKind} from '../tools/standins/proxy/proxy-fault-kind.js';
import type {ProxyFault} from '../tools/standins/proxy/proxy-fault.js';
import {Caller} from '../tools/truth/caller.js';
import {verifyOutcomes} from '../tools/truth/verify-outcomes.js';

describe('outcomes under faults', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 2, services: ['chairbook'], targetsPerService: 4, isProxyingTargets: true, serviceTimeMs: () => 10,
	});
	const caller = new Caller({service: 'chairbook', routePorts: []});

	beforeAll(async () => {
		await site.start();
	});
	afterEach(async () => {
		await Promise.all([...site.targetProxies.values()].map(async proxy => proxy.setFault(undefined)));
		expect(verifyOutcomes([...site.targets.values()].flatMap(target => target.records), caller.records)).toEqual([]);
	});
	afterAll(async () => {
		await caller.close();
		site.dispose();
	});

	const getEntry = (index: number) => `127.0.0.1:${site.instances[index]?.dataPort}`;
	const sendMany = async (method: 'GET' | 'POST', count: number, headers: Record<string, string> = {}) => {
		const sends = Array.from({length: count}, async () => caller.send({method, entry: getEntry(0), headers}));
		return Promise.all(sends);
	};

	/** Waits until open connections have received nothing for so long that non-idempotent requests open new ones. */
	const waitUntilConnectionsStale = async () => sleep(150);

	it.each(['GET', 'POST'] as const)('answers every %s completely after open connections were blackholed', async method => {
		await sendMany(method, 8);
		for (const proxy of site.targetProxies.values()) {
			proxy.blackholeOpenConnections();
		}

		await waitUntilConnectionsStale();
		const calls = await sendMany(method, 8);
		expect(calls.map(call => call.status)).toEqual(Array.from({length: 8}, () => 200));
	});

	it.each<{fault: ProxyFault; outcome: string; headers: Record<string, string>}>([
		{fault: {kind: ProxyFaultKind.Refuse}, outcome: 'not run', headers: {}},
		{fault: {kind: ProxyFaultKind.Truncate, afterBytes: 20}, outcome: 'unknown', headers: {}},
		{fault: {kind: ProxyFaultKind.Blackhole}, outcome: 'unknown', headers: {'x-request-timeout-ms': '300'}},
	])('reports the outcome "$outcome" for a POST under $fault', async ({fault, outcome, headers}) => {
		await Promise.all([...site.targetProxies.values()].map(async proxy => proxy.setFault(fault)));
		await waitUntilConnectionsStale();
		const call = await caller.send({method: 'POST', entry: getEntry(0), headers});
		expect(call.outcome).toBe(outcome);
	});

	it('never delivers a response that was truncated midway as complete', async () => {
		await Promise.all([...site.targetProxies.values()].map(async proxy => proxy.setFault({kind: ProxyFaultKind.Truncate, afterBytes: 30_000})));
		await waitUntilConnectionsStale();
		const call = await caller.send({method: 'POST', entry: getEntry(0), headers: {'x-answer-bytes': '100000'}});
		expect(call.status).toBe(0);
	});

	it('responds to every request after a process pause, and dispatches none that expired during it', async () => {
		const pendingCalls = sendMany('POST', 20, {'x-request-timeout-ms': '700', 'x-service-ms': '200'});
		await sleep(100);
		site.entries[0]?.sendSignal('SIGSTOP');
		await sleep(1200);
		const runCountBefore = [...site.targets.values()].flatMap(target => target.records).length;
		site.entries[0]?.sendSignal('SIGCONT');
		const calls = await pendingCalls;
		await sleep(100);
		const runCountAfter = [...site.targets.values()].flatMap(target => target.records).length;
		expect(runCountAfter).toBe(runCountBefore);
		expect(calls.filter(call => call.status === 0)).toEqual([]);
		expect(new Set(calls.map(call => call.outcome ?? call.status))).not.toContain(500);
		expect(site.entries[0]?.logLines.some(line => line.includes('woke-late'))).toBe(true);
		const laterCalls = await sendMany('POST', 4);
		expect(laterCalls.map(call => call.status)).toEqual([200, 200, 200, 200]);
	});

	it('reports "not run" for POSTs that expired unread during a process pause, and dispatches none of them', async () => {
		const runCountBefore = [...site.targets.values()].flatMap(target => target.records).length;
		site.entries[0]?.sendSignal('SIGSTOP');
		const pendingCalls = sendMany('POST', 20, {'x-request-timeout-ms': '700'});
		await sleep(1200);
		site.entries[0]?.sendSignal('SIGCONT');
		const calls = await pendingCalls;
		expect([...site.targets.values()].flatMap(target => target.records)).toHaveLength(runCountBefore);
		expect(new Set(calls.map(call => call.outcome ?? call.status))).toEqual(new Set(['not run']));
		const laterCalls = await sendMany('POST', 4);
		expect(laterCalls.map(call => call.status)).toEqual([200, 200, 200, 200]);
	});
});
