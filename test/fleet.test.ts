import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {promisify} from 'node:util';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import type {FleetReport} from '../src/common/fleet-report.js';
import type {FleetStatus} from '../src/common/fleet-status.js';
import type {Instance} from '../src/common/instance.js';
import {MemberState} from '../src/common/member-state.js';
import type {RouteAnswer} from '../src/common/route-answer.js';
import {PlatformOutage} from '../tools/standins/platform/platform-outage.js';
import {projectRoot} from '../tools/site/project-root.js';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';

const service = 'chairbook';
const parametersKey = `parameters/${service}`;
const waitLimitMs = 20_000;

describe('the fleet', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 6, services: [service], targetsPerService: 2, serviceTimeMs: () => 2, isProxyingEntries: true,
	});
	const gone = new Set<string>();
	const listLive = () => site.instances.filter(({id}) => !gone.has(id));
	const askJson = async <T>(port: number | undefined, path: string) => {
		const answer = await request(`http://127.0.0.1:${port}${path}`);
		return await answer.body.json() as T;
	};

	const askStatus = async (instance: Instance | undefined) => askJson<FleetStatus>(instance?.operatorPort, '/');
	const askRoute = async (instance: Instance | undefined) => askJson<RouteAnswer>(instance?.routePort, `/routes/${service}`);
	const waitForAll = async (check: (status: FleetStatus) => boolean) => {
		const endAt = Date.now() + waitLimitMs;
		for (;;) {
			const statuses = await Promise.all(listLive().map(async instance => askStatus(instance)));
			const missing = statuses.filter(status => !check(status));
			if (missing.length === 0 || Date.now() > endAt) {
				return missing.map(status => status.self.instance.id);
			}

			await sleep(50);
		}
	};

	const getRevision = (status: FleetStatus) => status.services.find(({name}) => name === service)?.parametersRevision;
	const getState = (status: FleetStatus, id: string) => status.members.find(({instance}) => instance.id === id)?.state;
	const readRevision = async () => {
		const status = await askStatus(listLive()[0]);
		return status.revisions[parametersKey] ?? 0;
	};

	beforeAll(async () => {
		await site.start();
	});
	afterAll(() => {
		site.dispose();
	});

	it('brings a change into force everywhere, refuses a bad one and takes the next good one', async () => {
		const before = await readRevision();
		site.publishParameters(service, {connections: 200});
		expect(await waitForAll(status => (getRevision(status) ?? 0) > before)).toEqual([]);
		const good = await readRevision();
		site.publishParameters(service, {connections: -1});
		expect(await waitForAll(status => (status.revisions[parametersKey] ?? 0) > good)).toEqual([]);
		expect(await waitForAll(status => getRevision(status) === good && status.refused.some(({key}) => key === parametersKey))).toEqual([]);
		site.publishParameters(service, {connections: 250});
		expect(await waitForAll(status => (getRevision(status) ?? 0) > good && status.refused.length === 0)).toEqual([]);
	});

	it('answers routes with equal versions everywhere', async () => {
		expect(await waitForAll(status => status.members.every(({state}) => state === MemberState.Alive))).toEqual([]);
		const answers = await Promise.all(site.instances.map(async instance => askRoute(instance)));
		expect(new Set(answers.map(({version}) => version)).size).toBe(1);
		expect(new Set(answers[0]?.addresses.map(({failureDomain}) => failureDomain)).size).toBeGreaterThan(1);
	});

	it('shows the whole fleet from one operator port', async () => {
		const port = String(site.instances[3]?.operatorPort);
		const {stdout} = await promisify(execFile)(process.execPath, [path.join(projectRoot, 'dist/src/bin/rattansill-status.js'), '--port', port, '--json']);
		const report = JSON.parse(stdout) as FleetReport;
		expect(report).toMatchObject({silent: [], disagreements: [], refused: []});
		expect(report.instances).toHaveLength(6);
	});

	it('suspects a paused entry and takes it back when it wakes', async () => {
		const [paused] = site.entries;
		gone.add('entry-1');
		paused?.sendSignal('SIGSTOP');
		expect(await waitForAll(status => getState(status, 'entry-1') === MemberState.Dead)).toEqual([]);
		const route = await askRoute(listLive()[0]);
		expect(route.addresses.map(({instanceId}) => instanceId)).not.toContain('entry-1');
		const before = await readRevision();
		site.publishParameters(service, {connections: 240});
		expect(await waitForAll(status => (getRevision(status) ?? 0) > before)).toEqual([]);
		paused?.sendSignal('SIGCONT');
		gone.delete('entry-1');
		expect(await waitForAll(status => getState(status, 'entry-1') === MemberState.Alive && (getRevision(status) ?? 0) > before)).toEqual([]);
	});

	it('replaces an entry while the service is down, from what peers hold', async () => {
		const revision = await readRevision();
		await site.platform.primary.setOutage(PlatformOutage.Refuse);
		gone.add('entry-2');
		await site.entries[1]?.stop('SIGKILL');
		expect(await waitForAll(status => getState(status, 'entry-2') !== MemberState.Alive)).toEqual([]);
		const instance = site.instances.find(({id}) => id === 'entry-2')!;
		const [seed] = listLive();
		await site.startEntry(instance, {peers: {seeds: [{host: '127.0.0.1', port: seed?.peerPort ?? 0}]}});
		gone.delete('entry-2');
		expect(await waitForAll(status => getState(status, 'entry-2') === MemberState.Alive && getRevision(status) === revision)).toEqual([]);
		await site.platform.primary.setOutage(PlatformOutage.None);
	});

	it('does not go back for a stale service and goes on when it has caught up', async () => {
		site.platform.primary.setFrozen(true);
		const before = await readRevision();
		site.publishParameters(service, {connections: 230});
		await sleep(500);
		expect(await readRevision()).toBe(before);
		site.platform.primary.setFrozen(false);
		expect(await waitForAll(status => (getRevision(status) ?? 0) > before)).toEqual([]);
	});
});
