import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';
import {Caller} from '../tools/truth/caller.js';
import {checkTruth} from '../tools/truth/check-truth.js';

describe('a planned stop', () => {
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

	it('loses nothing while two of three entries stop one after the other under load', async () => {
		const routePorts = site.instances.map(instance => instance.routePort).toReversed();
		const callers = Array.from({length: 6}, () => new Caller({service: 'chairbook', routePorts}));
		const stopped = new AbortController();
		const loads = callers.map(async caller => sendUntil(caller, stopped.signal));
		await sleep(200);
		const exits = [await site.entries[0]?.stop(), await site.entries[1]?.stop()];
		await sleep(200);
		stopped.abort();
		await Promise.all(loads);
		const told = callers.flatMap(caller => caller.told);
		const records = [...site.targets.values()].flatMap(target => target.records);
		expect(exits).toEqual([0, 0]);
		expect(told.filter(item => item.status !== 200)).toEqual([]);
		expect(checkTruth(records, told)).toEqual([]);
		expect(new Set(told.map(item => item.entry)).size).toBeGreaterThan(1);
		await Promise.all(callers.map(async caller => caller.close()));
	});

	it('ends what is in flight honestly on a third signal and says so by its exit code', async () => {
		const caller = new Caller({service: 'chairbook', routePorts: []});
		const {host, dataPort} = site.instances[2] ?? {};
		const sent = caller.send({method: 'POST', entry: `${host}:${dataPort}`, headers: {'x-service-ms': '4000'}});
		await sleep(200);
		const entry = site.entries[2];
		entry?.sendSignal('SIGTERM');
		await sleep(100);
		entry?.sendSignal('SIGTERM');
		await sleep(100);
		expect(await entry?.stop()).toBe(1);
		expect(await sent).toMatchObject({status: 502, outcome: 'unknown'});
		await caller.close();
	});
});
