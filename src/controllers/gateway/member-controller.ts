import {setTimeout as sleep} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {ConfigurationHolder} from '../../common/gateway/configuration-holder.js';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {MemberState} from '../../common/gateway/member-state.js';
import type {NeighbourSet} from '../../common/gateway/neighbour-set.js';
import type {PublishedConfiguration} from '../../common/gateway/published-configuration.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import type {SyncClient} from '../../io/gateway/sync-client.js';
import {runTask} from '../../io/run-task.js';
import {getNewestConfiguration} from '../../policy/gateway/get-newest-configuration.js';
import {pickReaders} from '../../policy/gateway/pick-readers.js';
import {MemberTable} from '../../policy/gateway/member-table.js';
import {NeighbourChooser} from '../../policy/gateway/neighbour-chooser.js';
import {checkDigest} from './check-digest.js';
import {ConfigurationFetcher} from './configuration-fetcher.js';
import {createPeerLink} from './create-peer-link.js';
import {createSyncMessage} from './create-sync-message.js';
import {logNeighbourRestarts} from './log-neighbour-restarts.js';
import type {PeerLink} from './peer-link.js';
import {RecordMerger} from './record-merger.js';
import type {SiteView} from './site-view.js';

type MemberControllerOptions = {
	readonly self: Pick<GatewayMember, 'id' | 'failureDomain' | 'dataAddress' | 'peerAddress' | 'cores' | 'incarnation'>;
	readonly seeds: readonly string[];
	readonly client: Pick<SyncClient, 'exchange' | 'fetchConfiguration' | 'timeoutMs'>;
	readonly view: SiteView;
	readonly clock: Clock;
	readonly random: () => number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Interval between two rounds, in ms. */
const roundIntervalMs = 300;
/** Time without a message from a successor after which one is sent to it even without changes, in ms. */
const maxSilenceMs = 600;
/** Time for which changes are collected before neighbours are notified, in ms. */
const batchDelayMs = 5;
/** Largest random addition to that time, in ms, so that only one of two neighbours starts the exchange. */
const batchJitterMs = 10;
/** A neighbour is notified when its list of targets was confirmed earlier than this instance's by more than this, in ms: half the interval of the reader's reads. */
const minAgeGainMs = 500;
/** Consecutive failed exchanges after which an instance counts as lost; the second follows at once. */
const maxFailures = 2;
/** Time beyond the client's timeout from which a failed exchange is attributed to a stall of this process rather than to the peer, in ms. */
const stallThresholdMs = 200;
/** Rounds between two messages to a seed or an instance that counts as lost, which reunite the fleet after a partition. */
const roundsPerRejoin = 6;
/** Number of standby readers, which read the registry when the reader is lost. */
const standbyReaderCount = 2;
/** Time that a leaving instance gives its neighbours to respond, in ms. */
const leaveTimeoutMs = 100;
/** Time after which the record of a lost or left instance is dropped, in ms; longer than a partition, which may last an hour, so that lost ones still count. */
const lostRetentionMs = 2 * 3_600_000;

/**
Tracks the instances of the fleet and disseminates configuration and targets among them. Each instance monitors its successors on several
rings and forwards changes to its neighbours, so that the traffic of one instance does not grow with the fleet. Failure detection and
dissemination follow SWIM (Das, Gupta and Motivala, 2002) with the local health check of Lifeguard (Dadgar, Phillips and Currey, 2018).
*/
export class MemberController implements DisposableLike {
	private readonly _table = new MemberTable();
	private readonly _chooser: NeighbourChooser;
	private readonly _links = new Map<string, PeerLink>();
	private readonly _merger: RecordMerger;
	private readonly _fetcher: ConfigurationFetcher;
	private _seeds: readonly string[];
	private _roundCount = 0;
	private _neighbours: NeighbourSet = {successors: [], all: []};
	private _readers: readonly GatewayMember[] = [];
	private _localCount = 1;
	private _topologyChangeNumber = -1;
	private _timer: NodeJS.Timeout | undefined;
	private _notificationTimer: NodeJS.Timeout | undefined;
	private _isDisposed = false;

	constructor(private readonly _options: MemberControllerOptions) {
		const {self, view} = _options;
		this._table.merge({
			...self, revision: 0, state: MemberState.Running, isServing: false, canRead: true,
		}, self.id, _options.clock.now());
		this._merger = new RecordMerger({table: this._table, selfId: self.id, metrics: _options.metrics});
		this._chooser = new NeighbourChooser(self);
		this._seeds = _options.seeds;
		this._fetcher = new ConfigurationFetcher({..._options, listHolders: version => this._listHolders(version)});
		view.onVersionChange(() => {
			this._scheduleNotification();
		});
	}

	/** Whether this instance is the reader, which reads the registry for the fleet. */
	get isReader(): boolean {
		this._updateTopology();
		return this._readers[0]?.id === this._options.self.id;
	}

	/** Whether this instance is a standby reader, one of the next to read the registry when the reader is lost. */
	get isStandbyReader(): boolean {
		this._updateTopology();
		return this._readers.slice(1).some(({id}) => id === this._options.self.id);
	}

	/** Number of the last change of the member table; grows with each change. */
	get changeNumber(): number {
		return this._table.changeNumber;
	}

	/** Number of instances in this failure domain that may be running, this one and lost ones included. */
	get localCount(): number {
		this._updateTopology();
		return this._localCount;
	}

	/** Whether this instance has joined the fleet: false while it has other seeds but knows no other instance. */
	get isJoined(): boolean {
		return this._table.members.length > 1 || this._otherSeeds.length === 0;
	}

	/** Starts the rounds. */
	start(): void {
		void this._runRoundTask();
		this._timer = setInterval(() => {
			void this._runRoundTask();
		}, roundIntervalMs);
	}

	/** Sends messages to successors that have been silent, and to an instance that may have come back. Called by a timer after the start. */
	async runRound(): Promise<void> {
		this._roundCount++;
		this._updateTopology();
		const now = this._options.clock.now();
		const exchanges = this._neighbours.successors
			.filter(({id}) => now - (this._links.get(id)?.lastMessageAt ?? Number.NEGATIVE_INFINITY) >= maxSilenceMs)
			.map(async member => this._exchange(member));
		if (this._neighbours.all.length === 0 || this._roundCount % roundsPerRejoin === 0) {
			exchanges.push(...this._pickRejoinAddresses().map(async address => this._exchangeWithAddress(address)));
		}

		this._fetcher.fetchNewer();
		this._dropEnded(now);
		await Promise.all(exchanges);
	}

	/** Replaces the seeds, the peer addresses by which the fleet is found. */
	setSeeds(seeds: readonly string[]): void {
		this._seeds = seeds;
	}

	/** Announces whether this instance serves callers. */
	setServing(isServing: boolean): void {
		this._updateSelf({isServing});
	}

	/** Announces whether this instance's reads of the registry succeed; instances that can read precede it as readers. */
	setCanRead(canRead: boolean): void {
		if (this._table.get(this._options.self.id)?.canRead !== canRead) {
			this._updateSelf({canRead});
		}
	}

	/** Notifies the neighbours that this instance leaves, and resolves when all have responded or the time for it is over. */
	async announceLeaving(): Promise<void> {
		this._updateSelf({state: MemberState.Left, isServing: false});
		await Promise.race([Promise.all(this._neighbours.all.map(async member => this._exchange(member))), sleep(leaveTimeoutMs)]);
	}

	/** Lists the instances that serve callers: those in the failure domain, or all when it has none. */
	listServing(failureDomain: string): GatewayMember[] {
		const serving = this.listRunning().filter(member => member.isServing);
		const local = serving.filter(member => member.failureDomain === failureDomain);
		return local.length > 0 ? local : serving;
	}

	/** Lists all instances that count as running, this one included. */
	listRunning(): GatewayMember[] {
		return this._table.listRunning();
	}

	/** Lists the instances that may be running, lost ones included. */
	listNotLeft(): GatewayMember[] {
		return this._table.listNotLeft();
	}

	/** Applies a peer's message and returns this instance's message in response. */
	handleMessage(message: SyncMessage): SyncMessage {
		this._applyMessage(message);
		return this._createMessage(message.from);
	}

	/** Gets the active configuration, for a peer that lacks it; undefined before the first one. */
	getConfiguration(): PublishedConfiguration | undefined {
		const {configuration, configurationAgeMs} = this._options.view;
		return configuration && {configuration, ageMs: Math.round(configurationAgeMs)};
	}

	dispose(): void {
		this._isDisposed = true;
		this._fetcher.dispose();
		clearInterval(this._timer);
		clearTimeout(this._notificationTimer);
	}

	private async _runRoundTask(): Promise<void> {
		await runTask(this._options, 'member-round', async () => this.runRound());
	}

	private get _otherSeeds(): string[] {
		return this._seeds.filter(seed => seed !== this._options.self.peerAddress);
	}

	/** Recomputes neighbours, readers and the number of local instances when a record has changed. */
	private _updateTopology(): void {
		if (this._topologyChangeNumber !== this._table.changeNumber) {
			this._topologyChangeNumber = this._table.changeNumber;
			const running = this._table.listRunning();
			this._neighbours = this._chooser.chooseNeighbours(running);
			this._readers = pickReaders(running, 1 + standbyReaderCount);
			this._localCount = this._table.countNotLeft(this._options.self.failureDomain);
		}
	}

	private _updateSelf(changes: Partial<GatewayMember>): void {
		const {self, clock} = this._options;
		const current = this._table.get(self.id);
		if (current !== undefined) {
			this._updateTopology();
			this._table.merge({...current, ...changes, revision: current.revision + 1}, self.id, clock.now());
			this._scheduleNotification();
		}
	}

	/** Picks at most one address of a seed or a lost instance, at random among those at which no instance is known to run. */
	private _pickRejoinAddresses(): string[] {
		const running = new Set(this._table.listRunning().map(member => member.peerAddress));
		const absent = [...this._otherSeeds, ...this._table.listLost().map(member => member.peerAddress)].filter(address => !running.has(address));
		const chosen = absent[Math.floor(this._options.random() * absent.length)];
		return chosen === undefined ? [] : [chosen];
	}

	private _scheduleNotification(): void {
		if (!this._isDisposed) {
			this._notificationTimer ??= setTimeout(() => {
				this._notificationTimer = undefined;
				void runTask(this._options, 'member-notification', () => {
					this._notifyNeighbours();
				});
			}, batchDelayMs + (batchJitterMs * this._options.random()));
		}
	}

	private _notifyNeighbours(): void {
		this._updateTopology();
		for (const member of this._neighbours.all) {
			if (this._isBehind(member.id)) {
				void this._exchange(member);
			}
		}
	}

	/** Whether an instance lacks changes that this one knows, as far as its last message shows. */
	private _isBehind(id: string): boolean {
		const link = this._links.get(id);
		if (link === undefined) {
			return true;
		}

		const {view} = this._options;
		const {version} = view;
		const {configuration, targetsGeneration, targetsAgeMs} = version;
		const peerAgeMs = this._computePeerAgeMs(link);
		const newest = getNewestConfiguration(version);
		return (configuration > link.view.configuration && configuration > link.announcedConfiguration)
			|| (newest > getNewestConfiguration(link.view) && newest > link.announcedNewest)
			|| view.hasNewerState(link.view)
			|| (peerAgeMs > targetsAgeMs + minAgeGainMs && (link.view.targetsGeneration ?? 0) === targetsGeneration)
			|| this._table.listChanges(link.acknowledgedNumber, id).length > 0;
	}

	private _computePeerAgeMs(link: PeerLink): number {
		return Math.min(Number.MAX_SAFE_INTEGER, Math.round(link.view.targetsAgeMs + this._options.clock.now() - link.lastMessageAt));
	}

	/** Exchanges messages with a known instance, unless an exchange with it is in progress. An instance that fails repeatedly counts as lost. */
	private async _exchange(member: GatewayMember): Promise<void> {
		const isExchanging = this._links.get(member.id)?.isExchanging ?? false;
		if (isExchanging || this._isDisposed) {
			return;
		}

		const link = this._getLink(member.id, member.incarnation);
		link.isExchanging = true;
		const isEnded = await runTask(this._options, 'member-exchange', async () => this._exchangeOverLink(member, link));
		if (!isEnded) {
			link.isExchanging = false;
		}
	}

	private async _exchangeOverLink(member: GatewayMember, link: PeerLink): Promise<void> {
		const startedAt = this._options.clock.now();
		const message = this._createMessage(member.id);
		const exchanged = await this._options.client.exchange(member.peerAddress, message);
		link.isExchanging = false;
		if (exchanged.isOk()) {
			link.failures = 0;
			link.acknowledgedNumber = Math.max(link.acknowledgedNumber, message.changeNumber);
			link.announcedConfiguration = Math.max(link.announcedConfiguration, message.view.configuration);
			link.announcedNewest = Math.max(link.announcedNewest, getNewestConfiguration(message.view));
			this._applyMessage(exchanged.value);
			if (this._isBehind(member.id)) {
				this._scheduleNotification();
			}
		} else if (!this._isDisposed) {
			await this._handleFailure(member, link, {message: exchanged.error.message, tookMs: this._options.clock.now() - startedAt});
		}
	}

	private async _handleFailure(member: GatewayMember, link: PeerLink, failure: {readonly message: string; readonly tookMs: number}): Promise<void> {
		const {client, clock, logger} = this._options;
		if (failure.tookMs > client.timeoutMs + stallThresholdMs) {
			logger.logInfo('exchange-held-up', {peer: member.id, tookMs: Math.round(failure.tookMs)});
			return;
		}

		link.failures++;
		if (link.failures < maxFailures) {
			await this._exchange(member);
			return;
		}

		link.failures = 0;
		if (this._table.merge({...member, state: MemberState.Lost}, this._options.self.id, clock.now())) {
			logger.logInfo('peer-lost', {peer: member.id, detail: failure.message});
			this._scheduleNotification();
		}
	}

	/** Exchanges messages with whichever instance is at an address. */
	private async _exchangeWithAddress(peerAddress: string): Promise<void> {
		await runTask(this._options, 'member-rejoin', async () => {
			const exchanged: Result<SyncMessage, Error> = await this._options.client.exchange(peerAddress, this._createMessage(undefined));
			if (exchanged.isOk() && !this._isDisposed) {
				this._applyMessage(exchanged.value);
			}
		});
	}

	private _applyMessage(message: SyncMessage): void {
		const {view, clock} = this._options;
		const now = clock.now();
		const link = this._getLink(message.from, message.incarnation);
		const {hasChanged, restarts} = this._merger.mergeRecords(message.members, message.from, now);
		if (restarts.length > 0) {
			this._updateTopology();
			logNeighbourRestarts(restarts, this._neighbours, this._options.logger);
		}

		link.lastMessageAt = now;
		link.view = message.view;
		link.takenNumber = message.changeNumber;
		if (message.takenNumber <= this._table.changeNumber) {
			link.acknowledgedNumber = Math.max(link.acknowledgedNumber, message.takenNumber);
		}

		checkDigest(link, message, this._table);
		view.offerPeerView(message);
		view.noteLeaving(message.leaving ?? [], message.from);
		this._fetcher.fetchNewer();
		if (hasChanged) {
			this._scheduleNotification();
		}
	}

	/** Lists the instances that have a newer configuration, the one with the latest message first. */
	private _listHolders(version: number): ConfigurationHolder[] {
		return [...this._links]
			.filter(([, link]) => link.view.configuration > version)
			.sort(([, a], [, b]) => b.lastMessageAt - a.lastMessageAt)
			.flatMap(([id, {incarnation, view}]) => {
				const member = this._table.get(id);
				return member === undefined ? [] : [{...member, incarnation, announcedVersion: view.configuration}];
			});
	}

	private _dropEnded(now: number): void {
		this._table.dropEnded(now, lostRetentionMs);
		const known = new Set(this._table.members.map(({id}) => id));
		for (const id of this._links.keys()) {
			if (!known.has(id)) {
				this._links.delete(id);
			}
		}
	}

	private _getLink(id: string, incarnation: number): PeerLink {
		const existing = this._links.get(id);
		if (existing?.incarnation === incarnation) {
			return existing;
		}

		const created = createPeerLink(incarnation);
		this._links.set(id, created);
		return created;
	}

	private _createMessage(peerId: string | undefined): SyncMessage {
		const {view, self} = this._options;
		const link = peerId === undefined ? undefined : this._links.get(peerId);
		return createSyncMessage({
			table: this._table, view, self, peerId, link, peerAgeMs: link === undefined ? 0 : this._computePeerAgeMs(link),
		});
	}
}
