import {readFileSync} from 'node:fs';
import path from 'node:path';
import {DisposableStore} from '../../src/common/disposable-store.js';
import type {DisposableLike} from '../../src/common/disposable-like.js';
import type {Instance} from '../../src/common/instance.js';
import type {Parameters} from '../../src/common/parameters.js';
import type {TargetSpec} from '../../src/common/target-spec.js';
import {StandInPlatform} from '../standins/platform/stand-in-platform.js';
import {StandInTarget} from '../standins/target/stand-in-target.js';
import {EntryProcess} from './entry-process.js';
import {findFreePorts} from './find-free-ports.js';
import {projectRoot} from './project-root.js';
import {siteLayouts} from './site-layouts.js';
import type {SiteOptions} from './site-options.js';

const loopback = '127.0.0.1';
const portsPerInstance = 4;

const readExample = (folder: string, name: string): unknown => JSON.parse(readFileSync(path.join(projectRoot, 'examples', folder, `${name}.json`), 'utf8'));

/** A site on loopback: stand-ins in this process and entry instances as processes of their own. */
export class Site implements DisposableLike {
	readonly platform = new StandInPlatform();
	readonly entries: EntryProcess[] = [];
	readonly targets = new Map<string, StandInTarget>();
	private readonly _store = new DisposableStore();
	private _instances: Instance[] = [];

	constructor(private readonly _options: SiteOptions) {}

	/** The entry instances in the order in which they were started. */
	get instances(): readonly Instance[] {
		return this._instances;
	}

	/** Names of the services that were started. */
	get services(): readonly string[] {
		return this._options.services ?? siteLayouts[this._options.site].services;
	}

	/** Starts stand-ins, publishes the configuration and starts the entry instances. */
	async start(): Promise<void> {
		this._store.add(this.platform);
		await this.platform.listener.listen({host: loopback, port: 0});
		for (const service of this.services) {
			await this._startService(service);
		}

		this._instances = await this._planInstances();
		this.platform.publishValue('rattansill/instances', {maxInstances: this._instances.length + 2, instances: this._instances});
		await Promise.all(this._instances.map(async instance => this._startEntry(instance)));
	}

	dispose(): void {
		this._store.dispose();
	}

	private async _startService(service: string): Promise<void> {
		const example = readExample('parameters', service) as Parameters;
		const slots = Number(example.values.slots);
		const specs = (example.values.targets as TargetSpec[]).slice(0, this._options.targetsPerService);
		const placed = await Promise.all(specs.map(async spec => {
			const target = this._store.add(new StandInTarget({id: spec.id, slots, serviceTimeMs: this._options.serviceTimeMs}));
			await target.listener.listen({host: loopback, port: 0});
			this.targets.set(spec.id, target);
			return {...spec, host: loopback, port: target.listener.port};
		}));
		this.platform.publishValue(`rattansill/templates/${example.template}`, readExample('templates', example.template));
		this.platform.publishValue(`rattansill/parameters/${service}`, {...example, values: {...example.values, targets: placed}});
	}

	private async _planInstances(): Promise<Instance[]> {
		const layout = siteLayouts[this._options.site];
		const count = this._options.entryCount ?? layout.entryCount;
		const ports = await findFreePorts(count * portsPerInstance);
		return Array.from({length: count}, (_, index) => {
			const [dataPort = 0, routePort = 0, peerPort = 0, operatorPort = 0] = ports.slice(index * portsPerInstance);
			return {
				id: `entry-${index + 1}`,
				host: loopback,
				dataPort,
				routePort,
				peerPort,
				operatorPort,
				failureDomain: layout.failureDomains[index % layout.failureDomains.length] ?? '',
				region: layout.team,
				leaving: false,
			};
		});
	}

	private async _startEntry(instance: Instance): Promise<void> {
		const entry = this._store.add(new EntryProcess({
			instance: {
				id: instance.id, host: instance.host, failureDomain: instance.failureDomain, region: instance.region,
			},
			listeners: {
				data: {port: instance.dataPort}, route: {port: instance.routePort}, peer: {port: instance.peerPort}, operator: {port: instance.operatorPort},
			},
			platform: {urls: [`http://${loopback}:${this.platform.listener.port}`]},
		}));
		this.entries.push(entry);
		await entry.start();
	}
}
