import {setTimeout as sleep} from 'node:timers/promises';
import type {EntryProcess} from '../../site/entry-process.js';
import type {Site} from '../../site/site.js';
import type {SeededRandom} from '../../random/seeded-random.js';
import {PlatformOutage} from '../../standins/platform/platform-outage.js';
import type {FaultWindow} from './fault-window.js';

type Fault = (durationMs: number) => Promise<void>;

const slowFactor = 8;
const settleMs = 1500;

/** Draws faults from a seed, singly and in pairs, and heals them; one of a kind at a time. */
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
			['slow', async ms => this._changeTarget('slow', {slowFactor}, {slowFactor: 1}, ms)],
			['fail-fast', async ms => this._changeTarget('fail-fast', {isFailingFast: true}, {isFailingFast: false}, ms)],
			['drain', async ms => this._changeTarget('drain', {isDraining: true}, {isDraining: false}, ms + 3000)],
			['silent', async () => this._silence()],
			['split', async ms => this._split(ms)],
			['outage', async ms => this._stopPlatform(ms)],
			['pause', async ms => this._pause(ms)],
			['kill', async () => this._replace('kill', 'SIGKILL')],
			['planned-stop', async () => this._replace('planned-stop', 'SIGTERM')],
		]);
	}

	/** Injects faults until the time is over; resolves when all are healed. */
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

	private _open(kind: string, subject: string): FaultWindow {
		const window = {
			kind, subject, startedAt: Date.now(), endedAt: Number.POSITIVE_INFINITY,
		};
		this.windows.push(window);
		this._log(`${kind} ${subject}`);
		return window;
	}

	private async _changeTarget(kind: string, change: Parameters<Site['fleet']['setBehavior']>[1], back: Parameters<Site['fleet']['setBehavior']>[1], ms: number): Promise<void> {
		const target = this._pick([...this._site.targets.keys()]);
		const window = this._open(kind, target);
		await this._site.fleet.setBehavior([target], change);
		await sleep(ms);
		window.endedAt = Date.now();
		await this._site.fleet.setBehavior([target], back);
	}

	private async _silence(): Promise<void> {
		const window = this._open('silent', '');
		for (const proxy of this._site.targetProxies.values()) {
			if (this._random.getNext() < 0.5) {
				proxy.dropOpenConnections();
			}
		}

		await sleep(500);
		window.endedAt = Date.now();
	}

	/** Cuts one entry from half of the targets. */
	private async _split(ms: number): Promise<void> {
		const [id, entry] = this._pick([...this._entries]);
		const window = this._open('split', id);
		const proxies = [...this._site.targetProxies.values()].filter((_, index) => index % 2 === 0);
		for (const proxy of proxies) {
			proxy.setBlockedPids(entry.pid === undefined ? [] : [entry.pid]);
		}

		await sleep(ms);
		for (const proxy of proxies) {
			proxy.setBlockedPids([]);
		}

		window.endedAt = Date.now();
	}

	private async _stopPlatform(ms: number): Promise<void> {
		const window = this._open('outage', '');
		await this._site.platform.primary.setOutage(PlatformOutage.Hang);
		await sleep(ms);
		await this._site.platform.primary.setOutage(PlatformOutage.None);
		window.endedAt = Date.now();
	}

	private async _pause(ms: number): Promise<void> {
		await this._useEntry(async (id, entry) => {
			const window = this._open('pause', this._getAddress(id));
			entry.sendSignal('SIGSTOP');
			await sleep(ms);
			entry.sendSignal('SIGCONT');
			window.endedAt = Date.now();
		});
	}

	private async _replace(kind: string, signal: NodeJS.Signals): Promise<void> {
		await this._useEntry(async (id, entry) => {
			const window = this._open(kind, this._getAddress(id));
			await entry.stop(signal);
			const instance = this._site.instances.find(item => item.id === id);
			if (instance !== undefined) {
				this._entries.set(id, await this._site.startEntry(instance));
			}

			window.endedAt = Date.now();
		});
	}

	/** One entry at a time is paused or replaced, so that the others can serve. */
	private async _useEntry(run: (id: string, entry: EntryProcess) => Promise<void>): Promise<void> {
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
