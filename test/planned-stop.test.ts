import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';
import {Caller} from '../tools/truth/caller.js';
import {verifyOutcomes} from '../tools/truth/verify-outcomes.js';

describe('graceful shutdown', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 3, services: ['chairbook'], targetsPerService: 4, serviceTimeMs: () => 20, settings: {routes: {lifetimeMs: 500}},
	});

	beforeAll(async () => {
		await site.start();
	});
	afterAll(() => {
		site.dispose();
	});

	const sendUntil = async (caller: Caller, signal: AbortSignal) => {
		for (let count = 0; !signal.aborted; count++) {
			await caller.send({method: count % 2 === 0 ? 'GET' : 'POST'});
		}
	};

	it('loses no request while two of three entries shut down one after the other under load', async () => {
		const routePorts = site.instances.map(instance => instance.routePort).toReversed();
		const callers = Array.from({length: 6}, () => new Caller({service: 'chairbook', routePorts}));
		const stopController = new AbortController();
		const loadLoops = callers.map(async caller => sendUntil(caller, stopController.signal));
		await sleep(200);
		const exits = [await site.entries[0]?.stop(), await site.entries[1]?.stop()];
		await sleep(200);
		stopController.abort();
		await Promise.all(loadLoops);
		const calls = callers.flatMap(caller => caller.records);
		const records = [...site.targets.values()].flatMap(target => target.records);
		expect(exits).toEqual([0, 0]);
		expect(calls.filter(call => call.status !== 200)).toEqual([]);
		expect(verifyOutcomes(records, calls)).toEqual([]);
		expect(new Set(calls.map(call => call.entry)).size).toBeGreaterThan(1);
		await Promise.all(callers.map(async caller => caller.close()));
	});

	it('aborts requests in flight with the outcome "unknown" on the third signal and exits with 1', async () => {
		const caller = new Caller({service: 'chairbook', routePorts: []});
		const {host, dataPort} = site.instances[2] ?? {};
		const pendingCall = caller.send({method: 'POST', entry: `${host}:${dataPort}`, headers: {'x-service-ms': '4000'}});
		await sleep(200);
		const entry = site.entries[2];
		entry?.sendSignal('SIGTERM');
		await sleep(100);
		entry?.sendSignal('SIGTERM');
		await sleep(100);
		expect(await entry?.stop()).toBe(1);
		expect(await pendingCall).toMatchObject({status: 502, outcome: 'unknown'});
		await caller.close();
	});
});
