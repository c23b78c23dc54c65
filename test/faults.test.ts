import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, afterEach, beforeAll, describe, expect, it,
} from 'vitest';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';
import {ProxyFaultKind} from '../tools/standins/proxy/proxy-fault-kind.js';
import type {ProxyFault} from '../tools/standins/proxy/proxy-fault.js';
import {Caller} from '../tools/truth/caller.js';
import {checkTruth} from '../tools/truth/check-truth.js';

describe('truth under faults', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 2, services: ['chairbook'], targetsPerService: 4, isProxyingTargets: true, serviceTimeMs: () => 10,
	});
	const caller = new Caller({service: 'chairbook', routePorts: []});

	beforeAll(async () => {
		await site.start();
	});
	afterEach(async () => {
		await Promise.all([...site.targetProxies.values()].map(async proxy => proxy.setFault(undefined)));
		expect(checkTruth([...site.targets.values()].flatMap(target => target.records), caller.told)).toEqual([]);
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

	/** Lets the proofs of life of open connections grow old, so that orders take new ones. */
	const waitUntilUnproved = async () => sleep(150);

	it.each(['GET', 'POST'] as const)('answers every %s whole after open connections have gone silent', async method => {
		await sendMany(method, 8);
		for (const proxy of site.targetProxies.values()) {
			proxy.dropOpenConnections();
		}

		await waitUntilUnproved();
		const told = await sendMany(method, 8);
		expect(told.map(item => item.status)).toEqual(Array.from({length: 8}, () => 200));
	});

	it.each<{fault: ProxyFault; outcome: string; headers: Record<string, string>}>([
		{fault: {kind: ProxyFaultKind.Refuse}, outcome: 'not run', headers: {}},
		{fault: {kind: ProxyFaultKind.Cut, afterBytes: 20}, outcome: 'unknown', headers: {}},
		{fault: {kind: ProxyFaultKind.Swallow}, outcome: 'unknown', headers: {'x-request-timeout-ms': '300'}},
	])('tells $outcome of an order under $fault', async ({fault, outcome, headers}) => {
		await Promise.all([...site.targetProxies.values()].map(async proxy => proxy.setFault(fault)));
		await waitUntilUnproved();
		const told = await caller.send({method: 'POST', entry: getEntry(0), headers});
		expect(told.outcome).toBe(outcome);
	});

	it('never passes on an answer that was cut midway as whole', async () => {
		await Promise.all([...site.targetProxies.values()].map(async proxy => proxy.setFault({kind: ProxyFaultKind.Cut, afterBytes: 30_000})));
		await waitUntilUnproved();
		const told = await caller.send({method: 'POST', entry: getEntry(0), headers: {'x-answer-bytes': '100000'}});
		expect(told.status).toBe(0);
	});

	it('answers honestly after a pause, and dispatches nothing that expired in it', async () => {
		const sent = sendMany('POST', 20, {'x-request-timeout-ms': '700', 'x-service-ms': '200'});
		await sleep(100);
		site.entries[0]?.sendSignal('SIGSTOP');
		await sleep(1200);
		const before = [...site.targets.values()].flatMap(target => target.records).length;
		site.entries[0]?.sendSignal('SIGCONT');
		const told = await sent;
		await sleep(100);
		const after = [...site.targets.values()].flatMap(target => target.records).length;
		expect(after).toBe(before);
		expect(told.filter(item => item.status === 0)).toEqual([]);
		expect(new Set(told.map(item => item.outcome ?? item.status))).not.toContain(500);
		expect(site.entries[0]?.logLines.some(line => line.includes('woke-late'))).toBe(true);
		const later = await sendMany('POST', 4);
		expect(later.map(item => item.status)).toEqual([200, 200, 200, 200]);
	});

	it('tells "not run" of orders that expired unread in a pause, and dispatches none of them', async () => {
		const before = [...site.targets.values()].flatMap(target => target.records).length;
		site.entries[0]?.sendSignal('SIGSTOP');
		const sent = sendMany('POST', 20, {'x-request-timeout-ms': '700'});
		await sleep(1200);
		site.entries[0]?.sendSignal('SIGCONT');
		const told = await sent;
		expect([...site.targets.values()].flatMap(target => target.records)).toHaveLength(before);
		expect(new Set(told.map(item => item.outcome ?? item.status))).toEqual(new Set(['not run']));
		const later = await sendMany('POST', 4);
		expect(later.map(item => item.status)).toEqual([200, 200, 200, 200]);
	});
});
