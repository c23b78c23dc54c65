import {readFileSync} from 'node:fs';
import path from 'node:path';
import {DisposableStore} from '../../src/common/disposable-store.js';
import type {DisposableLike} from '../../src/common/disposable-like.js';
import type {Instance} from '../../src/common/instance.js';
import type {Parameters} from '../../src/common/parameters.js';
import type {TargetSpec} from '../../src/common/target-spec.js';
import type {Template} from '../../src/common/template.js';
import {StandInPlatform} from '../standins/platform/stand-in-platform.js';
import {FaultProxy} from '../standins/proxy/fault-proxy.js';
import type {StandInTarget} from '../standins/target/stand-in-target.js';
import {TargetFleet} from '../standins/target/target-fleet.js';
import {EntryProcess} from './entry-process.js';
import {findFreePorts} from './find-free-ports.js';
import {projectRoot} from './project-root.js';
import {siteLayouts} from './site-layouts.js';
import type {SiteOptions} from './site-options.js';

type EntryPorts = Pick<Instance, 'dataPort' | 'routePort' | 'peerPort' | 'operatorPort'>;

const loopback = '127.0.0.1';
const portsPerInstance = 4;

const readExample = (folder: string, name: string): unknown => JSON.parse(readFileSync(path.join(projectRoot, 'examples', folder, `${name}.json`), 'utf8'));

/** A complete site on loopback: stand-in targets in this process or in workers, and each entry instance in its own process. */
export class Site implements DisposableLike {
	readonly platform: StandInPlatform;
	readonly fleet: TargetFleet;
	/** Entry processes in the order of their start; a restarted instance adds another one. */
	readonly entries: EntryProcess[] = [];
	/** Fault proxies in front of targets, by target id. */
	readonly targetProxies = new Map<string, FaultProxy>();
	/** Fault proxies in front of the data listeners of entry instances, by instance id. */
	readonly entryProxies = new Map<string, FaultProxy>();
	/** Fault proxies in front of the peer listeners of entry instances, by instance id. */
	readonly peerProxies = new Map<string, FaultProxy>();
	/** Published parameters by service, with the addresses of the stand-in targets. */
	readonly parameters = new Map<string, Parameters>();
	private readonly _store = new DisposableStore();
	private readonly _ports = new Map<string, EntryPorts>();
	private _instances: Instance[] = [];

	constructor(private readonly _options: SiteOptions) {
		this.platform = this._store.add(new StandInPlatform(_options.platformReplicas));
		this.fleet = this._store.add(new TargetFleet(_options.targetWorkers ?? 0));
	}

	/** Entry instances in the published instance list. */
	get instances(): readonly Instance[] {
		return this._instances;
	}

	/** Targets that run in this process, by id. */
	get targets(): ReadonlyMap<string, StandInTarget> {
		return this.fleet.localTargets;
	}

	/** Names of the services of this site. */
	get services(): readonly string[] {
		return this._options.services ?? siteLayouts[this._options.site].services;
	}

	/** Process ids of the running entry instances. */
	get entryPids(): readonly number[] {
		return this.entries.flatMap(entry => entry.pid ?? []);
	}

	/** Starts the stand-ins, publishes the configuration and starts the entry instances. */
	async start(): Promise<void> {
		await this.platform.start();
		for (const service of this.services) {
			await this._startService(service);
		}

		await this._planInstances();
		this.publishInstances();
		await Promise.all(this._instances.map(async instance => this.startEntry(instance)));
	}

	/** Publishes the instance list, replacing it first where one is given. */
	publishInstances(instances: readonly Instance[] = this._instances): void {
		this._instances = [...instances];
		this.platform.publishValue('rattansill/instances', {maxInstances: this._ports.size + 2, instances: this._instances});
	}

	/** Publishes the parameters of a service with some values changed; throws when the site does not run the service. */
	publishParameters(service: string, change: Readonly<Record<string, unknown>>): void {
		const previous = this.parameters.get(service);
		if (previous === undefined) {
			throw new Error(`service "${service}" does not exist in this site`);
		}

		const parameters = {...previous, values: {...previous.values, ...change as Parameters['values']}};
		this.parameters.set(service, parameters);
		this.platform.publishValue(`rattansill/parameters/${service}`, parameters);
	}

	/** Starts the process of an instance, or restarts it after the earlier process has exited. */
	async startEntry(instance: Instance, settings: SiteOptions['settings'] = {}): Promise<EntryProcess> {
		const ports = this._ports.get(instance.id) ?? instance;
		const entry = this._store.add(new EntryProcess({
			instance: {
				id: instance.id,
				host: instance.host,
				failureDomain: instance.failureDomain,
				region: instance.region,
				ports: {
					data: instance.dataPort, route: instance.routePort, peer: instance.peerPort, operator: instance.operatorPort,
				},
			},
			listeners: {
				data: {port: ports.dataPort}, route: {port: ports.routePort}, peer: {port: ports.peerPort}, operator: {port: ports.operatorPort},
			},
			platform: {urls: [...this.platform.urls]},
			...this._options.settings,
			...settings,
		}));
		this.entries.push(entry);
		await entry.start();
		return entry;
	}

	dispose(): void {
		this._store.dispose();
	}

	private async _startService(service: string): Promise<void> {
		const example = readExample('parameters', service) as Parameters;
		const values: Record<string, unknown> = {...example.values, ...this._options.parameters?.[service]};
		const specs = (values.targets as TargetSpec[]).slice(0, this._options.targetsPerService);
		const ports = await this.fleet.start(specs.map(spec => ({
			id: spec.id, slots: Number(values.slots), serviceTimeMs: this._options.serviceTimeMs, serviceTimes: this._options.serviceTimes, behavior: this._options.targetBehavior,
		})));
		const targets = await Promise.all(specs.map(async spec => ({...spec, host: loopback, port: await this._proxyTarget(spec.id, ports.get(spec.id) ?? 0)})));
		const template = readExample('templates', example.template) as Template;
		this.platform.publishValue(`rattansill/templates/${example.template}`, {...template, service: {...template.service, ...this._options.templates?.[example.template]}});
		this.parameters.set(service, {...example, values: {...values, targets}});
		this.publishParameters(service, {});
	}

	/** Returns the port to publish: that of the target's fault proxy where targets are proxied, else its own. */
	private async _proxyTarget(id: string, port: number): Promise<number> {
		if (!this._options.isProxyingTargets) {
			return port;
		}

		const proxy = await this._startProxy(port);
		this.targetProxies.set(id, proxy);
		return proxy.port;
	}

	private async _startProxy(port: number): Promise<FaultProxy> {
		const proxy = this._store.add(new FaultProxy({host: loopback, port, listPids: () => this.entryPids}));
		await proxy.start();
		return proxy;
	}

	private async _planInstances(): Promise<void> {
		const layout = siteLayouts[this._options.site];
		const count = this._options.entryCount ?? layout.entryCount;
		const freePorts = await findFreePorts(count * portsPerInstance);
		for (let index = 0; index < count; index++) {
			const [dataPort = 0, routePort = 0, peerPort = 0, operatorPort = 0] = freePorts.slice(index * portsPerInstance);
			const id = `entry-${index + 1}`;
			const ports = {
				dataPort, routePort, peerPort, operatorPort,
			};
			this._ports.set(id, ports);
			this._instances.push({
				id,
				host: loopback,
				...await this._proxyInstance(id, ports),
				failureDomain: layout.failureDomains[index % layout.failureDomains.length] ?? '',
				region: layout.team,
				leaving: false,
			});
		}
	}

	/** Returns the ports to publish: those of the fault proxies where instances are proxied, else the instance's own. */
	private async _proxyInstance(id: string, ports: EntryPorts): Promise<EntryPorts> {
		if (!this._options.isProxyingEntries) {
			return ports;
		}

		const [data, peer] = await Promise.all([this._startProxy(ports.dataPort), this._startProxy(ports.peerPort)]);
		this.entryProxies.set(id, data);
		this.peerProxies.set(id, peer);
		return {...ports, dataPort: data.port, peerPort: peer.port};
	}
}
