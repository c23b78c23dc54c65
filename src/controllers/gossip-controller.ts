import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import {MemberState} from '../common/member-state.js';
import type {MemberSummary} from '../io/peer/member-summary.js';
import type {PeerClient} from '../io/peer/peer-client.js';
import type {PingMessage} from '../io/peer/ping-message.js';
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
	/** Peer addresses to ask when the instance list cannot be read. */
	readonly seeds: ReadonlyArray<{readonly host: string; readonly port: number}>;
	readonly getConfigurationDigest: () => number;
	/** Called when a peer's configuration has differed for more than one ping. */
	readonly onConfigurationDiffers: (id: string) => void;
};

const pingIntervalMs = 500;
const pingTimeoutMs = 500;
const callTimeoutMs = 2000;
const newsDelayMs = 20;
const indirectPings = 2;
/** A timer later than this means that this process was paused. */
const pauseMs = 1000;
const joinAttempts = 2;
const joinTimeoutMs = 1000;
const joinRetryMs = 250;

/** Watches a few neighbours, spreads news of members, and finds members again after a split. */
export class GossipController implements DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _busy = new Set<string>();
	private readonly _differing = new Map<string, {members: number; configuration: number}>();
	private _news = new Map<string, MemberRecord>();
	private _newsTimer: NodeJS.Timeout | undefined;
	private _tickTimer: NodeJS.Timeout | undefined;
	private _tickedAt: number;
	private _neighbours: ReturnType<typeof chooseNeighbours> | undefined;

	constructor(private readonly _options: GossipOptions) {
		this._tickedAt = _options.clock.now();
		this._store.add(_options.members.onMembersChanged(() => {
			this._neighbours = undefined;
		}));
		this._store.add(_options.members.onNews(records => {
			this._queueNews(records);
		}));
		this._store.add(_options.peers.onClosed(id => {
			if (this._getNeighbours().watched.includes(id)) {
				void this._checkPeer(id);
			}
		}));
	}

	/** The peers that this instance tells of news. */
	get toldPeers(): readonly string[] {
		return this._getNeighbours().told;
	}

	/** The peers that this instance watches. */
	get watchedPeers(): readonly string[] {
		return this._getNeighbours().watched;
	}

	/** Speaks with some peers for the first time; resolves once one answered or none can be reached. */
	async connectPeers(): Promise<void> {
		for (let attempt = 0; attempt < joinAttempts; attempt++) {
			const results = await Promise.all(this._createJoinClients().map(async client => this._reconcileOnce(client, joinTimeoutMs)));
			if (results.includes(true) || results.length === 0) {
				break;
			}

			await sleep(joinRetryMs * (0.5 + this._options.random()));
		}

		this._options.members.markJoined();
	}

	/** Starts to watch the neighbours. */
	start(): void {
		this._scheduleTick();
	}

	answerPing(message: PingMessage): PingMessage {
		const record = this._options.members.getRecord(message.id);
		if (record === undefined || record.incarnation < message.incarnation || record.state === MemberState.Dead) {
			void this._reconcile(message.id);
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
		const theirs = new Map(summaries.map(summary => [summary.id, summary]));
		const records = this._options.members.listRecords().filter(record => {
			const summary = theirs.get(record.instance.id);
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
		clearTimeout(this._newsTimer);
		this._store.dispose();
	}

	private _scheduleTick(): void {
		this._tickTimer = setTimeout(() => {
			this._tick();
			this._scheduleTick();
		}, pingIntervalMs * (0.9 + (0.2 * this._options.random())));
	}

	private _tick(): void {
		const now = this._options.clock.now();
		if (now - this._tickedAt > pingIntervalMs + pauseMs) {
			this._options.members.resume();
		}

		this._tickedAt = now;
		this._options.members.advance();
		for (const id of this._getNeighbours().watched) {
			void this._checkPeer(id);
		}

		void this._tryDead();
	}

	/** Pings a neighbour; when it does not answer, tries a new connection and asks others before it suspects. */
	private async _checkPeer(id: string): Promise<void> {
		if (this._busy.has(id)) {
			return;
		}

		this._busy.add(id);
		const startedAt = this._options.clock.now();
		const isReachable = await this._reachPeer(id);
		this._busy.delete(id);
		// Answers that arrived while this process was paused may be unread; such a result proves nothing.
		const wasPaused = this._options.clock.now() - startedAt > (2 * pingTimeoutMs) + pauseMs;
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
		const retry = this._options.peers.getClient(id);
		const direct = retry === undefined ? [] : [this._ping(retry, id)];
		const helpers = this._getNeighbours().told.filter(other => other !== id).slice(0, indirectPings);
		const indirect = helpers.map(async helper => this._askHelper(helper, id));
		const results = await Promise.all([...direct, ...indirect]);
		return results.includes(true);
	}

	private async _askHelper(helper: string, id: string): Promise<boolean> {
		try {
			const client = this._options.peers.getClient(helper);
			return await client?.api.fleet.relayPing.query(id, {signal: AbortSignal.timeout(pingTimeoutMs)}) ?? false;
		} catch {
			return false;
		}
	}

	private async _ping(client: PeerClient, id: string): Promise<boolean> {
		try {
			const answer = await client.api.fleet.ping.query(this._createPing(), {signal: AbortSignal.timeout(pingTimeoutMs)});
			if (answer.id !== id) {
				return false;
			}

			this._compareAnswer(client, id, answer);
			return true;
		} catch {
			return false;
		}
	}

	private _compareAnswer(client: PeerClient, id: string, answer: PingMessage): void {
		const record = this._options.members.getRecord(id);
		const before = this._differing.get(id) ?? {members: 0, configuration: 0};
		const isNewLife = record?.incarnation !== answer.incarnation || record.state === MemberState.Dead;
		const members = answer.members === this._options.members.digest ? 0 : before.members + 1;
		const configuration = answer.configuration === this._options.getConfigurationDigest() ? 0 : before.configuration + 1;
		this._differing.set(id, {members, configuration});
		// A difference in one ping is mostly news under way.
		if (isNewLife || members > 1) {
			void this._reconcileOnce(client);
		}

		if (configuration > 1) {
			this._options.onConfigurationDiffers(id);
		}
	}

	/** Tries one dead member, so that the sides of a split find each other again. */
	private async _tryDead(): Promise<void> {
		const dead = this._options.members.listRecords().filter(({state}) => state === MemberState.Dead);
		const chosen = dead[Math.floor(this._options.random() * dead.length)];
		if (chosen === undefined || this._busy.has(chosen.instance.id)) {
			return;
		}

		const {id, host, peerPort} = chosen.instance;
		this._busy.add(id);
		const client = this._options.peers.createClient({host, port: peerPort});
		await this._ping(client, id);
		await sleep(newsDelayMs);
		this._busy.delete(id);
		client.dispose();
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
			const answer = await client.api.fleet.reconcile.query(summaries, {signal: AbortSignal.timeout(timeoutMs)});
			members.acceptRecords(answer.records);
			const wanted = answer.wanted.flatMap(id => members.getRecord(id) ?? []);
			if (wanted.length > 0) {
				const self = await client.api.fleet.push.mutate(wanted, {signal: AbortSignal.timeout(callTimeoutMs)});
				members.acceptRecords([self]);
			}

			return true;
		} catch {
			return false;
		}
	}

	private _createJoinClients(): PeerClient[] {
		const {members, peers, random, seeds} = this._options;
		const known = members.listMembers().filter(({instance}) => instance.id !== members.self.instance.id);
		const picked = known.map(member => ({member, order: random()})).sort((a, b) => a.order - b.order).slice(0, indirectPings + 1);
		const clients = picked.flatMap(({member}) => peers.getClient(member.instance.id) ?? []);
		const seedClients = known.length > 0 ? [] : seeds.map(seed => this._store.add(peers.createClient(seed)));
		return [...clients, ...seedClients];
	}

	private _createPing(): PingMessage {
		const {selfRecord, digest} = this._options.members;
		return {
			id: selfRecord.instance.id, incarnation: selfRecord.incarnation, sequence: selfRecord.sequence, members: digest, configuration: this._options.getConfigurationDigest(),
		};
	}

	private _queueNews(records: readonly MemberRecord[]): void {
		for (const record of records) {
			this._news.set(record.instance.id, record);
		}

		this._newsTimer ??= setTimeout(() => {
			this._newsTimer = undefined;
			const news = [...this._news.values()];
			this._news = new Map();
			for (const id of this._getNeighbours().told) {
				void this._sendNews(id, news);
			}
		}, newsDelayMs);
	}

	private async _sendNews(id: string, news: MemberRecord[]): Promise<void> {
		try {
			await this._options.peers.getClient(id)?.api.fleet.push.mutate(news, {signal: AbortSignal.timeout(callTimeoutMs)});
		} catch {
			// The peer learns the news from its other neighbours or from the next comparison of digests.
		}
	}

	private _getNeighbours(): ReturnType<typeof chooseNeighbours> {
		const {members} = this._options;
		this._neighbours ??= chooseNeighbours(members.self.instance.id, members.listMembers().map(({instance}) => instance.id));
		return this._neighbours;
	}
}
