import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {DisposableStore} from '../../../src/common/disposable-store.js';
import type {Instance} from '../../../src/common/instance.js';
import {EntryProcess} from '../../site/entry-process.js';
import {findFreePorts} from '../../site/find-free-ports.js';
import {StandInPlatform} from '../../standins/platform/stand-in-platform.js';
import {readProcessUsage} from '../measure/read-process-usage.js';
import type {DaemonUsage} from './daemon-usage.js';

type FleetSize = {
	readonly entries: number;
	readonly services: number;
	readonly targetsPerService: number;
};
type UsageReading = {readonly cpuMs: number; readonly residentBytes: number; readonly ioBytes: number; readonly at: number; readonly calls: number};

const loopback = '127.0.0.1';
const domainCount = 14;
const portsPerInstance = 4;
/** Number of processes that are started in parallel. */
const startBatchSize = 10;
const pollMs = 20;
const bytesPerMegabyte = 1_048_576;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const readIoBytes = async (pid: number): Promise<number> => {
	const text = await readFile(`/proc/${pid}/io`, 'utf8');
	return sum(['rchar', 'wchar'].map(name => Number(new RegExp(`^${name}: (\\d+)`, 'mv').exec(text)?.[1] ?? 0)));
};

/** Instances with a synthetic configuration and no load, to measure the cost of the control plane. */
export class ControlPlaneFleet implements DisposableLike {
	readonly platform = new StandInPlatform();
	private readonly _store = new DisposableStore();
	private readonly _entries = new Map<string, EntryProcess>();
	/** All processes of an instance, past ones included, in the order of their start. */
	private readonly _processHistory = new Map<string, EntryProcess[]>();
	private readonly _publishedAt = new Map<string, number>();
	private _instances: Instance[] = [];
	private _version = 0;

	constructor(private readonly _size: FleetSize) {
		this._store.add(this.platform);
	}

	get instances(): readonly Instance[] {
		return this._instances;
	}

	/** Running processes by instance id. */
	get entries(): ReadonlyMap<string, EntryProcess> {
		return this._entries;
	}

	/** Publishes the configuration and starts the instances. */
	async start(): Promise<void> {
		await this.platform.start();
		this._publishTemplate();
		for (let index = 0; index < this._size.services; index++) {
			this.publishService(index);
		}

		await this._planInstances();
		await this.startEntries(this._instances.map(({id}) => id), startBatchSize);
	}

	/** Starts the processes of instances, `batch` at a time. */
	async startEntries(ids: readonly string[], batch: number): Promise<void> {
		for (let start = 0; start < ids.length; start += batch) {
			await Promise.all(ids.slice(start, start + batch).map(async id => this._startEntry(id)));
		}
	}

	/** Kills the process of an instance with SIGKILL. */
	async killEntry(id: string): Promise<void> {
		await this._entries.get(id)?.stop('SIGKILL');
		this._entries.delete(id);
	}

	/** Publishes new parameters of the service with this index and returns its name. */
	publishService(index: number): string {
		const service = `service-${index}`;
		const targets = Array.from({length: this._size.targetsPerService}, (_, target) => ({
			id: `${service}-${target}`, host: loopback, port: 1, failureDomain: `domain-${target % domainCount}`,
		}));
		this._version++;
		this._publishedAt.set(service, Date.now());
		this.platform.publishValue(`rattansill/parameters/${service}`, {
			service, team: 'team', template: 'synthetic', values: {targets, deadlineMs: 1000 + this._version},
		});
		return service;
	}

	/** Waits until the latest parameters of a service are active on the given instances; resolves with the time each took in ms, infinite where `limitMs` has passed. */
	async waitUntilActive(service: string, ids: readonly string[], limitMs: number): Promise<number[]> {
		const publishedAt = this._publishedAt.get(service) ?? 0;
		const endAt = Date.now() + limitMs;
		let times: number[] = [];
		do {
			times = ids.map(id => this._getActivationMs(id, service, publishedAt));
			if (times.every(time => Number.isFinite(time))) {
				return times;
			}

			await sleep(pollMs);
		} while (Date.now() < endAt);

		return times;
	}

	/** Measures the resource usage of the instances while `run` executes. */
	async measureUsage(run: () => Promise<void>): Promise<DaemonUsage> {
		const before = await this._readUsage();
		await run();
		const after = await this._readUsage();
		const seconds = (after.at - before.at) / 1000;
		const count = this._entries.size;
		return {
			cpuPercent: (after.cpuMs - before.cpuMs) / 10 / seconds / count,
			residentMb: after.residentBytes / bytesPerMegabyte / count,
			kilobytesPerSecond: (after.ioBytes - before.ioBytes) / 1000 / seconds / count,
			platformCallsPerSecond: (after.calls - before.calls) / seconds,
			watches: this.platform.waiting,
		};
	}

	/** Lists where an instance, restarts included, activated an older revision of a service's parameters after a newer one. */
	listReversions(): string[] {
		return [...this._processHistory].flatMap(([id, processes]) => {
			const newest = new Map<string, number>();
			return processes.flatMap(entry => this._listActivations(entry)).flatMap(({service, parameters}) => {
				const before = newest.get(service) ?? 0;
				newest.set(service, Math.max(before, parameters));
				return parameters < before ? [`${id}: ${service} from ${before} to ${parameters}`] : [];
			});
		});
	}

	dispose(): void {
		this._store.dispose();
	}

	private _publishTemplate(): void {
		this.platform.publishValue('rattansill/templates/synthetic', {
			name: 'synthetic',
			parameters: {targets: {description: 'targets', type: 'list'}, deadlineMs: {description: 'deadline', type: 'integer'}},
			service: {
				targets: {parameter: 'targets'},
				rules: [{
					name: 'any', idempotent: true, class: 'interactive', deadlineMs: {parameter: 'deadlineMs'},
				}],
				slotsPerTarget: 4, connectionsPerTarget: 250, longSlotsPerTarget: 2, probesPerTargetPerSecond: 0, retryRatio: 0.1, hedgeRatio: 0.05, hedgeAfterMs: 40,
			},
		});
	}

	private async _planInstances(): Promise<void> {
		const ports = await findFreePorts(this._size.entries * portsPerInstance);
		this._instances = Array.from({length: this._size.entries}, (_, index) => {
			const [dataPort = 0, routePort = 0, peerPort = 0, operatorPort = 0] = ports.slice(index * portsPerInstance);
			return {
				id: `entry-${index}`, host: loopback, dataPort, routePort, peerPort, operatorPort, failureDomain: `domain-${index % domainCount}`, region: 'region', leaving: false,
			};
		});
		this.platform.publishValue('rattansill/instances', {maxInstances: this._size.entries + 2, instances: this._instances});
	}

	private async _startEntry(id: string): Promise<void> {
		const instance = this._instances.find(item => item.id === id)!;
		const entry = this._store.add(new EntryProcess({
			instance: {id, host: instance.host, failureDomain: instance.failureDomain},
			listeners: {
				data: {port: instance.dataPort}, route: {port: instance.routePort}, peer: {port: instance.peerPort}, operator: {port: instance.operatorPort},
			},
			platform: {urls: [...this.platform.urls]},
		}));
		this._entries.set(id, entry);
		this._processHistory.set(id, [...(this._processHistory.get(id) ?? []), entry]);
		await entry.start();
	}

	private _getActivationMs(id: string, service: string, publishedAt: number): number {
		const entry = this._entries.get(id);
		const activation = entry === undefined ? undefined : this._listActivations(entry).findLast(item => item.service === service);
		return activation === undefined || activation.at < publishedAt ? Number.POSITIVE_INFINITY : activation.at - publishedAt;
	}

	private _listActivations(entry: EntryProcess): Array<{readonly service: string; readonly parameters: number; readonly at: number}> {
		return entry.logLines.filter(line => line.includes('"service-in-force"') && line.endsWith('}')).map(line => {
			const event = JSON.parse(line) as {service: string; parameters: number; time: string};
			return {...event, at: Date.parse(event.time)};
		});
	}

	private async _readUsage(): Promise<UsageReading> {
		const pids = [...this._entries.values()].flatMap(entry => entry.pid ?? []);
		const usages = await Promise.all(pids.map(async pid => readProcessUsage(pid)));
		const io = await Promise.all(pids.map(async pid => readIoBytes(pid)));
		return {
			cpuMs: sum(usages.map(({cpuMs}) => cpuMs)), residentBytes: sum(usages.map(({residentBytes}) => residentBytes)), ioBytes: sum(io), at: Date.now(), calls: this.platform.calls.total,
		};
	}
}
