import {err, ok} from 'neverthrow';
import {vi} from 'vitest';
import {PeerFailureKind} from '../../src/common/gateway/peer-failure-kind.js';
import type {PublishedConfiguration} from '../../src/common/gateway/published-configuration.js';
import type {SiteRegistry} from '../../src/common/gateway/site-registry.js';
import type {SyncMessage} from '../../src/common/gateway/sync-message.js';
import {MemberController} from '../../src/controllers/gateway/member-controller.js';
import {RegistryReader} from '../../src/controllers/gateway/registry-reader.js';
import {SiteView} from '../../src/controllers/gateway/site-view.js';
import {configurationTimeoutMs} from '../../src/io/gateway/configuration-timeout-ms.js';
import {encodeMember} from '../../src/io/gateway/encode-member.js';
import {packConfiguration} from '../../src/io/gateway/pack-configuration.js';
import {ScrapedMetrics} from '../../src/io/gateway/scraped-metrics.js';
import {SeededRandom} from '../../tools/random/seeded-random.js';
import {silentLogger} from './silent-logger.js';

type FleetInstance = {readonly members: MemberController; readonly view: SiteView; readonly metrics: ScrapedMetrics; readonly reader: RegistryReader | undefined};
type FleetOptions = {
	readonly seeds: readonly string[];
	/** Time that each message takes, in ms; messages arrive at once without it. */
	readonly delayMs?: () => number;
	/** Time that the transfer of a configuration between two instances takes, with its check, in ms. */
	readonly transferMs?: () => number;
	/** Registry from which instances read. Without one, values are offered to a view by the test. */
	readonly registry?: SiteRegistry;
};
type LoggedLine = {readonly instance: string; readonly event: string; readonly fields: Readonly<Record<string, unknown>>};

const waitFor = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const measureMessageBytes = (message: SyncMessage): number => JSON.stringify({...message, members: message.members.map(member => encodeMember(member))}).length;

const stripNewer = ({evacuations: set, ...message}: SyncMessage): SyncMessage => {
	const {targetsGeneration, evacuations, ...view} = message.view;
	return {...message, view};
};

/** Member controllers that exchange messages in memory under fake timers; the peer address of an instance is its id. */
export class InMemoryFleet {
	readonly instances = new Map<string, FleetInstance>();
	/** Bytes sent and received by instance id. */
	readonly bytes = new Map<string, number>();
	/** Ids of instances that neither send nor respond. */
	silent = new Set<string>();
	/** Ids of instances in a network partition: they reach one another but no other instance. */
	partitioned = new Set<string>();
	/** Lines of all instances that are of interest to an operator. */
	readonly lines: LoggedLine[] = [];
	/** Ids of instances of the previous version, which knows neither generations of the list of targets nor evacuations. */
	olderVersions = new Set<string>();
	private readonly _random = new SeededRandom(16);

	constructor(private readonly _options: FleetOptions) {}

	/** Draws a number from 0 to 1 from the seeded random numbers of the fleet. */
	get random(): () => number {
		return this._random.getNext;
	}

	/** Instances that are not silent. */
	get running(): FleetInstance[] {
		return [...this.instances].filter(([id]) => !this.silent.has(id)).map(([, instance]) => instance);
	}

	/** Adds an instance, or restarts one without its state. */
	addInstance(id: string, failureDomain: string, cores = 0.27): void {
		this._disposeInstance(id);
		const clock = {now: () => Date.now()};
		const view = new SiteView({clock, logger: silentLogger, evacuationMs: 5000});
		const metrics = new ScrapedMetrics();
		const members = new MemberController({
			self: {
				id, failureDomain, dataAddress: `10.0.0.${id}:8641`, peerAddress: id, cores, incarnation: Date.now(),
			},
			seeds: this._options.seeds,
			client: {
				timeoutMs: 400,
				exchange: async (address, message) => {
					const peer = this._findReachablePeer(id, address);
					if (peer === undefined) {
						return err(new Error('no response'));
					}

					await this._delay();
					const isOlder = this.olderVersions.has(id) || this.olderVersions.has(address);
					const response = isOlder ? stripNewer(peer.members.handleMessage(stripNewer(message))) : peer.members.handleMessage(message);
					this._recordBytes(id, address, measureMessageBytes(message) + measureMessageBytes(response));
					await this._delay();
					return ok(response);
				},
				fetchConfiguration: async address => this._fetchConfiguration(id, address),
			},
			view,
			clock,
			random: this._random.getNext,
			metrics,
			logger: {
				...silentLogger,
				logInfo: (event, fields = {}) => {
					this.lines.push({instance: id, event, fields});
				},
			},
		});
		const reader = this._createReader(view, members, metrics);
		this.instances.set(id, {
			members, view, metrics, reader,
		});
		members.start();
		void reader?.start();
	}

	/** Returns the instance with this id; throws when there is none. */
	getInstance(id: string): FleetInstance {
		const instance = this.instances.get(id);
		if (instance === undefined) {
			throw new Error(`no instance ${id}`);
		}

		return instance;
	}

	/** Lists the ids of running instances that read the registry on behalf of the fleet. */
	listReaders(): string[] {
		return [...this.instances].filter(([id, {members}]) => !this.silent.has(id) && members.isReader).map(([id]) => id);
	}

	/** Advances the fake timers. */
	async advanceTime(ms: number): Promise<void> {
		await vi.advanceTimersByTimeAsync(ms);
	}

	dispose(): void {
		for (const id of this.instances.keys()) {
			this._disposeInstance(id);
		}

		this.instances.clear();
	}

	private _disposeInstance(id: string): void {
		this.instances.get(id)?.members.dispose();
		this.instances.get(id)?.reader?.dispose();
	}

	private _createReader(view: SiteView, members: MemberController, metrics: ScrapedMetrics): RegistryReader | undefined {
		const {registry: source} = this._options;
		return source && new RegistryReader({
			source,
			view,
			metrics,
			logger: silentLogger,
			clock: {now: () => Date.now()},
			random: this._random.getNext,
			isReader: () => members.isReader,
			isStandbyReader: () => members.isStandbyReader,
			isJoined: () => members.isJoined,
			onRead(canRead) {
				members.setCanRead(canRead);
			},
			waitsForPeers: false,
			targetChangeMs: 2000,
			configurationChangeMs: 2000,
		});
	}

	private async _delay(): Promise<void> {
		const {delayMs} = this._options;
		if (delayMs !== undefined) {
			await waitFor(delayMs());
		}
	}

	private _findReachablePeer(from: string, to: string): FleetInstance | undefined {
		return this.silent.has(from) || this.silent.has(to) || this.partitioned.has(from) !== this.partitioned.has(to) ? undefined : this.instances.get(to);
	}

	private async _fetchConfiguration(from: string, to: string) {
		const transferMs = this._options.transferMs?.() ?? 0;
		if (transferMs > 0) {
			await waitFor(Math.min(transferMs, configurationTimeoutMs));
		}

		const peer = this._findReachablePeer(from, to);
		if (peer === undefined || transferMs > configurationTimeoutMs) {
			return err({kind: PeerFailureKind.Unreachable, detail: 'no response'} as const);
		}

		const published: PublishedConfiguration | undefined = peer.members.getConfiguration();
		this._recordBytes(from, to, published === undefined ? 0 : packConfiguration(published.configuration).length);
		return ok(published);
	}

	private _recordBytes(from: string, to: string, count: number): void {
		for (const id of [from, to]) {
			this.bytes.set(id, (this.bytes.get(id) ?? 0) + count);
		}
	}
}
