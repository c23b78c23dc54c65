import {setTimeout as sleep} from 'node:timers/promises';
import type {EntryProcess} from '../../site/entry-process.js';
import type {Site} from '../../site/site.js';
import type {SeededRandom} from '../../random/seeded-random.js';
import {PlatformOutage} from '../../standins/platform/platform-outage.js';
import type {FaultWindow} from './fault-window.js';

type Fault = (durationMs: number) => Promise<void>;

const slowFactor = 8;
const settleMs = 1500;

/** Injects random faults, one or two at a time and never two of one kind, and reverts each. */
export class FaultInjector {
	readonly windows: FaultWindow[] = [];
	private readonly _entries = new Map<string, EntryProcess>();
	private readonly _faults: ReadonlyMap<string, Fault>;
	private _isEntryBusy = false;

	constructor(private readonly _site: Site, private readonly _random: SeededRandom, private readonly _log: (line: string) => void) {
		for (const [index, instance] of _site.instances.entries()) {
			const entry = _site.entries[index];
			if (entry !== undefined) {
				this._entries.set(instance.id, entry);
			}
		}

		this._faults = new Map<string, Fault>([
			['slow', async durationMs => this._changeTarget('slow', {slowFactor}, {slowFactor: 1}, durationMs)],
			['fail-fast', async durationMs => this._changeTarget('fail-fast', {isFailingFast: true}, {isFailingFast: false}, durationMs)],
			['drain', async durationMs => this._changeTarget('drain', {isDraining: true}, {isDraining: false}, durationMs + 3000)],
			['silent', async () => this._blackholeConnections()],
			['split', async durationMs => this._partition(durationMs)],
			['outage', async durationMs => this._hangPlatform(durationMs)],
			['pause', async durationMs => this._pauseEntry(durationMs)],
			['kill', async () => this._replaceEntry('kill', 'SIGKILL')],
			['planned-stop', async () => this._replaceEntry('planned-stop', 'SIGTERM')],
		]);
	}

	/** Injects faults until a wall-clock time in ms; resolves once all are reverted. */
	async run(endAt: number): Promise<void> {
		while (Date.now() < endAt) {
			const count = this._random.getNext() < 0.4 ? 2 : 1;
			const names = new Set(Array.from({length: count}, () => this._pick([...this._faults.keys()])));
			await Promise.all([...names].map(async name => this._faults.get(name)?.(800 + (this._random.getNext() * 1500))));
			await sleep(settleMs);
		}
	}

	private _pick<T>(items: readonly T[]): T {
		return items[Math.floor(this._random.getNext() * items.length)]!;
	}

	private _startWindow(kind: string, subject: string): FaultWindow {
		const window = {
			kind, subject, startedAt: Date.now(), endedAt: Number.POSITIVE_INFINITY,
		};
		this.windows.push(window);
		this._log(`${kind} ${subject}`);
		return window;
	}

	private async _changeTarget(kind: string, change: Parameters<Site['fleet']['setBehavior']>[1], restored: Parameters<Site['fleet']['setBehavior']>[1], durationMs: number): Promise<void> {
		const target = this._pick([...this._site.targets.keys()]);
		const window = this._startWindow(kind, target);
		await this._site.fleet.setBehavior([target], change);
		await sleep(durationMs);
		window.endedAt = Date.now();
		await this._site.fleet.setBehavior([target], restored);
	}

	private async _blackholeConnections(): Promise<void> {
		const window = this._startWindow('silent', '');
		for (const proxy of this._site.targetProxies.values()) {
			if (this._random.getNext() < 0.5) {
				proxy.blackholeOpenConnections();
			}
		}

		await sleep(500);
		window.endedAt = Date.now();
	}

	/** Partitions one instance from half of the targets. */
	private async _partition(durationMs: number): Promise<void> {
		const [id, entry] = this._pick([...this._entries]);
		const window = this._startWindow('split', id);
		const proxies = [...this._site.targetProxies.values()].filter((_, index) => index % 2 === 0);
		for (const proxy of proxies) {
			proxy.setPartitionedPids(entry.pid === undefined ? [] : [entry.pid]);
		}

		await sleep(durationMs);
		for (const proxy of proxies) {
			proxy.setPartitionedPids([]);
		}

		window.endedAt = Date.now();
	}

	private async _hangPlatform(durationMs: number): Promise<void> {
		const window = this._startWindow('outage', '');
		await this._site.platform.primary.setOutage(PlatformOutage.Hang);
		await sleep(durationMs);
		await this._site.platform.primary.setOutage(PlatformOutage.None);
		window.endedAt = Date.now();
	}

	private async _pauseEntry(durationMs: number): Promise<void> {
		await this._runOnEntry(async (id, entry) => {
			const window = this._startWindow('pause', this._getAddress(id));
			entry.sendSignal('SIGSTOP');
			await sleep(durationMs);
			entry.sendSignal('SIGCONT');
			window.endedAt = Date.now();
		});
	}

	private async _replaceEntry(kind: string, signal: NodeJS.Signals): Promise<void> {
		await this._runOnEntry(async (id, entry) => {
			const window = this._startWindow(kind, this._getAddress(id));
			await entry.stop(signal);
			const instance = this._site.instances.find(item => item.id === id);
			if (instance !== undefined) {
				this._entries.set(id, await this._site.startEntry(instance));
			}

			window.endedAt = Date.now();
		});
	}

	/** Runs a fault on a random instance, or does nothing while another is paused or replaced, so that the others can serve. */
	private async _runOnEntry(run: (id: string, entry: EntryProcess) => Promise<void>): Promise<void> {
		if (this._isEntryBusy) {
			return;
		}

		this._isEntryBusy = true;
		await run(...this._pick([...this._entries]));
		this._isEntryBusy = false;
	}

	private _getAddress(id: string): string {
		const instance = this._site.instances.find(item => item.id === id);
		return `${instance?.host}:${instance?.dataPort}`;
	}
}
