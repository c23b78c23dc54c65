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
import type {RouteResponse} from '../src/common/route-response.js';
import {PlatformOutage} from '../tools/standins/platform/platform-outage.js';
import {projectRoot} from '../tools/site/project-root.js';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';

const service = 'chairbook';
const parametersKey = `parameters/${service}`;
const waitTimeoutMs = 20_000;

describe('the fleet', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 6, services: [service], targetsPerService: 2, serviceTimeMs: () => 2, isProxyingEntries: true,
	});
	const unavailableIds = new Set<string>();
	const listAvailable = () => site.instances.filter(({id}) => !unavailableIds.has(id));
	const fetchJson = async <T>(port: number | undefined, path: string) => {
		const response = await request(`http://127.0.0.1:${port}${path}`);
		return await response.body.json() as T;
	};

	const fetchStatus = async (instance: Instance | undefined) => fetchJson<FleetStatus>(instance?.operatorPort, '/');
	const fetchRoute = async (instance: Instance | undefined) => fetchJson<RouteResponse>(instance?.routePort, `/routes/${service}`);
	const waitForAll = async (check: (status: FleetStatus) => boolean) => {
		const deadlineAt = Date.now() + waitTimeoutMs;
		for (;;) {
			const statuses = await Promise.all(listAvailable().map(async instance => fetchStatus(instance)));
			const pending = statuses.filter(status => !check(status));
			if (pending.length === 0 || Date.now() > deadlineAt) {
				return pending.map(status => status.self.instance.id);
			}

			await sleep(50);
		}
	};

	const getRevision = (status: FleetStatus) => status.services.find(({name}) => name === service)?.parametersRevision;
	const getState = (status: FleetStatus, id: string) => status.members.find(({instance}) => instance.id === id)?.state;
	const readRevision = async () => {
		const status = await fetchStatus(listAvailable()[0]);
		return status.revisions[parametersKey] ?? 0;
	};

	beforeAll(async () => {
		await site.start();
	});
	afterAll(() => {
		site.dispose();
	});

	it('applies a change on all entries, refuses an invalid one and applies the next valid one', async () => {
		const revisionBefore = await readRevision();
		site.publishParameters(service, {connections: 200});
		expect(await waitForAll(status => (getRevision(status) ?? 0) > revisionBefore)).toEqual([]);
		const goodRevision = await readRevision();
		site.publishParameters(service, {connections: -1});
		expect(await waitForAll(status => (status.revisions[parametersKey] ?? 0) > goodRevision)).toEqual([]);
		expect(await waitForAll(status => getRevision(status) === goodRevision && status.refused.some(({key}) => key === parametersKey))).toEqual([]);
		site.publishParameters(service, {connections: 250});
		expect(await waitForAll(status => (getRevision(status) ?? 0) > goodRevision && status.refused.length === 0)).toEqual([]);
	});

	it('returns routes of the same version from all entries', async () => {
		expect(await waitForAll(status => status.members.every(({state}) => state === MemberState.Alive))).toEqual([]);
		const routes = await Promise.all(site.instances.map(async instance => fetchRoute(instance)));
		expect(new Set(routes.map(({version}) => version)).size).toBe(1);
		expect(new Set(routes[0]?.addresses.map(({failureDomain}) => failureDomain)).size).toBeGreaterThan(1);
	});

	it('shows the whole fleet from one operator port', async () => {
		const port = String(site.instances[3]?.operatorPort);
		const {stdout} = await promisify(execFile)(process.execPath, [path.join(projectRoot, 'dist/src/bin/rattansill-status.js'), '--port', port, '--json']);
		const report = JSON.parse(stdout) as FleetReport;
		expect(report).toMatchObject({silent: [], disagreements: [], refused: []});
		expect(report.instances).toHaveLength(6);
	});

	it('removes a paused entry from routes and readmits it when it resumes', async () => {
		const [paused] = site.entries;
		unavailableIds.add('entry-1');
		paused?.sendSignal('SIGSTOP');
		expect(await waitForAll(status => getState(status, 'entry-1') === MemberState.Dead)).toEqual([]);
		const route = await fetchRoute(listAvailable()[0]);
		expect(route.addresses.map(({instanceId}) => instanceId)).not.toContain('entry-1');
		const revisionBefore = await readRevision();
		site.publishParameters(service, {connections: 240});
		expect(await waitForAll(status => (getRevision(status) ?? 0) > revisionBefore)).toEqual([]);
		paused?.sendSignal('SIGCONT');
		unavailableIds.delete('entry-1');
		expect(await waitForAll(status => getState(status, 'entry-1') === MemberState.Alive && (getRevision(status) ?? 0) > revisionBefore)).toEqual([]);
	});

	it('starts a replacement entry from the configuration of its peers while the registry is unavailable', async () => {
		const revision = await readRevision();
		await site.platform.primary.setOutage(PlatformOutage.Refuse);
		unavailableIds.add('entry-2');
		await site.entries[1]?.stop('SIGKILL');
		expect(await waitForAll(status => getState(status, 'entry-2') !== MemberState.Alive)).toEqual([]);
		const instance = site.instances.find(({id}) => id === 'entry-2')!;
		const [seed] = listAvailable();
		await site.startEntry(instance, {peers: {seeds: [{host: '127.0.0.1', port: seed?.peerPort ?? 0}]}});
		unavailableIds.delete('entry-2');
		expect(await waitForAll(status => getState(status, 'entry-2') === MemberState.Alive && getRevision(status) === revision)).toEqual([]);
		await site.platform.primary.setOutage(PlatformOutage.None);
	});

	it('keeps its revision while the registry is stale and applies newer ones once it has caught up', async () => {
		site.platform.primary.setFrozen(true);
		const revisionBefore = await readRevision();
		site.publishParameters(service, {connections: 230});
		await sleep(500);
		expect(await readRevision()).toBe(revisionBefore);
		site.platform.primary.setFrozen(false);
		expect(await waitForAll(status => (getRevision(status) ?? 0) > revisionBefore)).toEqual([]);
	});
});
