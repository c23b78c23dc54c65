import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import type {Logger} from '../common/logger.js';
import {MemberState} from '../common/member-state.js';
import type {Metrics} from '../common/metrics.js';
import type {MemberSummary} from '../io/peer/member-summary.js';
import type {PeerClient} from '../io/peer/peer-client.js';
import type {PingMessage} from '../io/peer/ping-message.js';
import {runTask} from '../io/run-task.js';
import {chooseNeighbours} from '../policy/membership/choose-neighbours.js';
import {compareRecords} from '../policy/membership/compare-records.js';
import type {MemberRecord} from '../policy/membership/member-record.js';
import type {MembershipController} from './membership-controller.js';
import type {PeerController} from './peer-controller.js';

type GossipOptions = {
	readonly members: MembershipController;
	readonly peers: PeerController;
	readonly clock: Clock;
	readonly random: () => number;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Addresses of peers to contact when no other member is known. */
	readonly seeds: ReadonlyArray<{readonly host: string; readonly port: number}>;
	readonly getConfigurationDigest: () => number;
	/** Called when a peer's configuration digest has differed in more than one consecutive ping. */
	readonly onConfigurationDiffers: (id: string) => void;
};

const pingIntervalMs = 500;
const pingTimeoutMs = 500;
const callTimeoutMs = 2000;
const pushDelayMs = 20;
const indirectPingCount = 2;
/** A timer that is late by more than this, in ms, means that the process was paused. */
const pauseThresholdMs = 1000;
const maxJoinAttempts = 2;
const joinTimeoutMs = 1000;
const joinRetryMs = 250;

/**
Detects failed neighbours with direct and indirect pings, as in SWIM (Das et al., 2002), gossips changed member records, and
reconnects the parts of the fleet after a network partition.
*/
export class GossipController implements DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _checking = new Set<string>();
	private readonly _mismatchCounts = new Map<string, {members: number; configuration: number}>();
	private _pendingRecords = new Map<string, MemberRecord>();
	private _pushTimer: NodeJS.Timeout | undefined;
	private _tickTimer: NodeJS.Timeout | undefined;
	private _lastTickAt: number;
	private _neighbours: ReturnType<typeof chooseNeighbours> | undefined;

	constructor(private readonly _options: GossipOptions) {
		this._lastTickAt = _options.clock.now();
		this._store.add(_options.members.onMembersChanged(() => {
			this._neighbours = undefined;
		}));
		this._store.add(_options.members.onRecordsChanged(records => {
			this._queueRecords(records);
		}));
		this._store.add(_options.peers.onClosed(id => {
			if (this._getNeighbours().watched.includes(id)) {
				void this._checkPeer(id);
			}
		}));
	}

	/** Ids of the peers to which this instance sends changed records. */
	get gossipPeers(): readonly string[] {
		return this._getNeighbours().gossipPeers;
	}

	/** Ids of the peers that this instance pings. */
	get watchedPeers(): readonly string[] {
		return this._getNeighbours().watched;
	}

	/** Joins the fleet: exchanges member records with some peers. Resolves once one has responded, all attempts have failed, or there is no peer. */
	async connectPeers(): Promise<void> {
		for (let attempt = 0; attempt < maxJoinAttempts; attempt++) {
			const results = await Promise.all(this._createJoinClients().map(async client => this._reconcileOnce(client, joinTimeoutMs)));
			if (results.includes(true) || results.length === 0) {
				break;
			}

			await sleep(joinRetryMs * (0.5 + this._options.random()));
		}

		this._options.members.markJoined();
	}

	/** Starts pinging the neighbours. */
	start(): void {
		this._scheduleTick();
	}

	handlePing(message: PingMessage): PingMessage {
		const record = this._options.members.getRecord(message.id);
		if (record === undefined || record.incarnation < message.incarnation || record.state === MemberState.Dead) {
			void runTask(this._options, 'member-reconciliation', async () => this._reconcile(message.id));
		}

		return this._createPing();
	}

	async relayPing(id: string): Promise<boolean> {
		const client = this._options.peers.getClient(id);
		return client !== undefined && this._ping(client, id);
	}

	acceptRecords(records: readonly MemberRecord[]): MemberRecord {
		this._options.members.acceptRecords(records);
		return this._options.members.selfRecord;
	}

	reconcileRecords(summaries: readonly MemberSummary[]): {readonly records: readonly MemberRecord[]; readonly wanted: readonly string[]} {
		const summariesById = new Map(summaries.map(summary => [summary.id, summary]));
		const records = this._options.members.listRecords().filter(record => {
			const summary = summariesById.get(record.instance.id);
			return record.incarnation > 0 && (summary === undefined ? record.state !== MemberState.Dead : compareRecords(record, summary) > 0);
		});
		const wanted = summaries.filter(summary => {
			const record = this._options.members.getRecord(summary.id);
			return summary.incarnation > 0 && (record === undefined ? summary.state !== MemberState.Dead : compareRecords(summary, record) > 0);
		});
		return {records, wanted: wanted.map(({id}) => id)};
	}

	dispose(): void {
		clearTimeout(this._tickTimer);
		clearTimeout(this._pushTimer);
		this._store.dispose();
	}

	private _scheduleTick(): void {
		this._tickTimer = setTimeout(() => {
			void runTask(this._options, 'member-round', () => {
				this._tick();
			});
			this._scheduleTick();
		}, pingIntervalMs * (0.9 + (0.2 * this._options.random())));
	}

	private _tick(): void {
		const now = this._options.clock.now();
		if (now - this._lastTickAt > pingIntervalMs + pauseThresholdMs) {
			this._options.members.resume();
		}

		this._lastTickAt = now;
		this._options.members.advance();
		for (const id of this._getNeighbours().watched) {
			void this._checkPeer(id);
		}

		void runTask(this._options, 'member-rejoin', async () => this._pingDeadMember());
	}

	/** Pings a neighbour. Without a response, it is pinged over a new connection and through other peers before it is suspected. */
	private async _checkPeer(id: string): Promise<void> {
		if (this._checking.has(id)) {
			return;
		}

		this._checking.add(id);
		await runTask(this._options, 'member-check', async () => this._updateReachability(id));
		this._checking.delete(id);
	}

	private async _updateReachability(id: string): Promise<void> {
		const startedAt = this._options.clock.now();
		const isReachable = await this._reachPeer(id);
		// Responses that arrived while the process was paused may not have been read, so the result is ignored.
		const wasPaused = this._options.clock.now() - startedAt > (2 * pingTimeoutMs) + pauseThresholdMs;
		if (!isReachable && !wasPaused) {
			this._options.members.markUnreachable(id);
		}
	}

	private async _reachPeer(id: string): Promise<boolean> {
		const client = this._options.peers.getClient(id);
		if (client === undefined) {
			return true;
		}

		if (await this._ping(client, id)) {
			return true;
		}

		this._options.peers.dropClient(id);
		const newClient = this._options.peers.getClient(id);
		const direct = newClient === undefined ? [] : [this._ping(newClient, id)];
		const relays = this._getNeighbours().gossipPeers.filter(other => other !== id).slice(0, indirectPingCount);
		const indirect = relays.map(async relay => this._pingThroughRelay(relay, id));
		const results = await Promise.all([...direct, ...indirect]);
		return results.includes(true);
	}

	private async _pingThroughRelay(relay: string, id: string): Promise<boolean> {
		try {
			const client = this._options.peers.getClient(relay);
			return await client?.api.fleet.relayPing.query(id, {signal: AbortSignal.timeout(pingTimeoutMs)}) ?? false;
		} catch {
			return false;
		}
	}

	private async _ping(client: PeerClient, id: string): Promise<boolean> {
		try {
			const response = await client.api.fleet.ping.query(this._createPing(), {signal: AbortSignal.timeout(pingTimeoutMs)});
			if (response.id !== id) {
				return false;
			}

			this._compareDigests(client, id, response);
			return true;
		} catch {
			return false;
		}
	}

	private _compareDigests(client: PeerClient, id: string, response: PingMessage): void {
		const record = this._options.members.getRecord(id);
		const previous = this._mismatchCounts.get(id) ?? {members: 0, configuration: 0};
		const isNewIncarnation = record?.incarnation !== response.incarnation || record.state === MemberState.Dead;
		const members = response.members === this._options.members.digest ? 0 : previous.members + 1;
		const configuration = response.configuration === this._options.getConfigurationDigest() ? 0 : previous.configuration + 1;
		this._mismatchCounts.set(id, {members, configuration});
		// A digest that differs in one ping only usually means that an update is still being delivered.
		if (isNewIncarnation || members > 1) {
			void this._reconcileOnce(client);
		}

		if (configuration > 1) {
			this._options.onConfigurationDiffers(id);
		}
	}

	/** Pings one dead member, so that the parts of the fleet find each other again after a network partition. */
	private async _pingDeadMember(): Promise<void> {
		const deadMembers = this._options.members.listRecords().filter(({state}) => state === MemberState.Dead);
		const chosen = deadMembers[Math.floor(this._options.random() * deadMembers.length)];
		if (chosen === undefined || this._checking.has(chosen.instance.id)) {
			return;
		}

		const {id, host, peerPort} = chosen.instance;
		this._checking.add(id);
		try {
			const client = this._options.peers.createClient({host, port: peerPort});
			await this._ping(client, id);
			// A reconciliation that the ping started still uses the client.
			await sleep(pushDelayMs);
			client.dispose();
		} finally {
			this._checking.delete(id);
		}
	}

	private async _reconcile(id: string): Promise<void> {
		const client = this._options.peers.getClient(id);
		if (client !== undefined) {
			await this._reconcileOnce(client);
		}
	}

	private async _reconcileOnce(client: PeerClient, timeoutMs = callTimeoutMs): Promise<boolean> {
		try {
			const {members} = this._options;
			const summaries = members.listRecords().filter(({incarnation}) => incarnation > 0).map(({instance, incarnation, sequence, state}) => ({
				id: instance.id, incarnation, sequence, state,
			}));
			const response = await client.api.fleet.reconcile.query(summaries, {signal: AbortSignal.timeout(timeoutMs)});
			members.acceptRecords(response.records);
			const wanted = response.wanted.flatMap(id => members.getRecord(id) ?? []);
			if (wanted.length > 0) {
				const peerRecord = await client.api.fleet.push.mutate(wanted, {signal: AbortSignal.timeout(callTimeoutMs)});
				members.acceptRecords([peerRecord]);
			}

			return true;
		} catch {
			return false;
		}
	}

	private _createJoinClients(): PeerClient[] {
		const {members, peers, random, seeds} = this._options;
		const others = members.listMembers().filter(({instance}) => instance.id !== members.self.instance.id);
		const picked = others.map(member => ({member, order: random()})).sort((a, b) => a.order - b.order).slice(0, indirectPingCount + 1);
		const clients = picked.flatMap(({member}) => peers.getClient(member.instance.id) ?? []);
		const seedClients = others.length > 0 ? [] : seeds.map(seed => this._store.add(peers.createClient(seed)));
		return [...clients, ...seedClients];
	}

	private _createPing(): PingMessage {
		const {selfRecord, digest} = this._options.members;
		return {
			id: selfRecord.instance.id, incarnation: selfRecord.incarnation, sequence: selfRecord.sequence, members: digest, configuration: this._options.getConfigurationDigest(),
		};
	}

	private _queueRecords(records: readonly MemberRecord[]): void {
		for (const record of records) {
			this._pendingRecords.set(record.instance.id, record);
		}

		this._pushTimer ??= setTimeout(() => {
			this._pushTimer = undefined;
			void runTask(this._options, 'member-push', () => {
				const pending = [...this._pendingRecords.values()];
				this._pendingRecords = new Map();
				for (const id of this._getNeighbours().gossipPeers) {
					void this._pushRecords(id, pending);
				}
			});
		}, pushDelayMs);
	}

	private async _pushRecords(id: string, records: MemberRecord[]): Promise<void> {
		try {
			await this._options.peers.getClient(id)?.api.fleet.push.mutate(records, {signal: AbortSignal.timeout(callTimeoutMs)});
		} catch {
			// The peer receives the records from its other neighbours or after the next digest comparison.
		}
	}

	private _getNeighbours(): ReturnType<typeof chooseNeighbours> {
		const {members} = this._options;
		this._neighbours ??= chooseNeighbours(members.self.instance.id, members.listMembers().map(({instance}) => instance.id));
		return this._neighbours;
	}
}
