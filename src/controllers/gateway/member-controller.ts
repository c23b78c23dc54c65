import type {Clock} from '../../common/clock.js';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {Logger} from '../../common/logger.js';
import type {SyncClient} from '../../io/gateway/sync-client.js';
import {MemberTable} from '../../policy/gateway/member-table.js';
import type {SiteView} from './site-view.js';

type MemberControllerOptions = {
	readonly self: Omit<GatewayMember, 'counter' | 'isServing' | 'canRead'>;
	readonly seeds: readonly string[];
	readonly client: Pick<SyncClient, 'exchange'>;
	readonly view: SiteView;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Time between two rounds, in ms. */
const roundMs = 300;
/** Rounds between two exchanges with another failure domain; bytes between domains are dear. */
const remoteEvery = 20;
/** The same while the own view is older than it should be, as when the whole domain cannot reach the registry. */
const remoteEveryWhenStale = 3;
/** Rounds after the start in which a seed is asked each time, unless the own domain's hub is known. */
const seedRounds = 12;
/** Rounds between two questions to a seed later on, which joins parts of the fleet that do not know each other. */
const seedEvery = 60;
/** Age of the view from which other domains are asked more often, in ms. */
const staleMs = 1500;
/** Silence after which an instance of the same failure domain counts as lost, in ms: three rounds. */
const localLiveMs = 1000;
/** Silence after which an instance of another failure domain counts as lost, in ms: two exchanges. */
const remoteLiveMs = 12_000;
/** Silence after which an instance is forgotten, in ms. */
const forgetMs = 60_000;

/** The one of the lowest id among those that can read the registry, or among all when none can. */
const pickHub = (members: readonly GatewayMember[]): GatewayMember | undefined => {
	let best: GatewayMember | undefined;
	for (const member of members) {
		const isBetter = best === undefined || (member.canRead === best.canRead ? member.id < best.id : member.canRead);
		best = isBetter ? member : best;
	}

	return best;
};

/**
Knows the instances of the fleet. In each failure domain all exchange messages with the one of the lowest id, the hub, and
the hubs with each other; whoever does not answer is passed over, so that the next lowest takes its place. The lowest of the hubs
reads the registry and tells the other hubs.
*/
export class MemberController implements DisposableLike {
	private readonly _table = new MemberTable();
	private readonly _peerViews = new Map<string, SyncMessage['view']>();
	private _self: GatewayMember;
	private _seeds: readonly string[];
	private _round = 0;
	private _timer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: MemberControllerOptions) {
		this._self = {
			..._options.self, counter: 0, isServing: false, canRead: true,
		};
		this._seeds = _options.seeds;
	}

	/** Whether this instance passes on to its failure domain what other domains tell. */
	get isHub(): boolean {
		return this._findHub(this._self.failureDomain)?.id === this._self.id;
	}

	/** Whether this instance reads the registry for the others: the hub of the lowest id among all domains. */
	get isReader(): boolean {
		return this.isHub && pickHub(this._listHubs())?.id === this._self.id;
	}

	/** Instances of the own failure domain that count as running, this one included. */
	get localCount(): number {
		return this._listLocal().length;
	}

	/** False while this instance should know others and has heard of none. */
	get isJoined(): boolean {
		return this._table.members.length > 0 || this._seeds.every(seed => seed === this._self.peerAddress);
	}

	/** Starts the rounds. */
	start(): void {
		void this.runRound();
		this._timer = setInterval(() => {
			void this.runRound();
		}, roundMs);
	}

	/** Exchanges messages with the peers whose turn it is; called by a timer after the start. */
	async runRound(): Promise<void> {
		this._round++;
		this._self = {...this._self, counter: this._self.counter + 1};
		const hub = this._findHub(this._self.failureDomain);
		const exchanges: Array<Promise<void>> = [];
		if (hub !== undefined && hub.id !== this._self.id) {
			exchanges.push(this._exchange(hub.peerAddress, hub));
		}

		const isHub = hub?.id === this._self.id;
		const every = this._options.view.listAgeMs > staleMs ? remoteEveryWhenStale : remoteEvery;
		if (isHub && this._round % every === 0) {
			exchanges.push(...this._exchangeWithHubs());
		}

		if (isHub && (this._round <= seedRounds || this._round % seedEvery === 0)) {
			exchanges.push(this._askSeed());
		}

		await Promise.all(exchanges);
		this._table.dropSilent(this._options.clock.now(), forgetMs);
	}

	/** Takes other addresses to find the fleet by. */
	setSeeds(seeds: readonly string[]): void {
		this._seeds = seeds;
	}

	/** Says whether this instance takes callers. */
	setServing(isServing: boolean): void {
		this._self = {...this._self, counter: this._self.counter + 1, isServing};
	}

	/** Says whether this instance's reads of the registry succeed; one that cannot read leaves that to others, and tells them at once. */
	setCanRead(canRead: boolean): void {
		if (canRead !== this._self.canRead) {
			this._self = {...this._self, counter: this._self.counter + 1, canRead};
			void this.announce();
			void this.announceToHubs();
		}
	}

	/** Tells the other instances of the failure domain at once what has changed. */
	async announce(): Promise<void> {
		await Promise.all(this._listLocal().filter(member => member.id !== this._self.id).map(async member => this._exchange(member.peerAddress, member)));
	}

	/** Tells the hubs of the other failure domains what was read. */
	async announceToHubs(): Promise<void> {
		await Promise.all(this._exchangeWithHubs());
	}

	/** Lists instances that take callers: those of the failure domain, or all when it has none. */
	listServing(failureDomain: string): GatewayMember[] {
		const serving = this.listLive().filter(member => member.isServing);
		const local = serving.filter(member => member.failureDomain === failureDomain);
		return local.length > 0 ? local : serving;
	}

	/** Lists all instances that count as running, this one included. */
	listLive(): GatewayMember[] {
		const now = this._options.clock.now();
		const others = this._table.listLive(now, remoteLiveMs).filter(member => member.failureDomain !== this._self.failureDomain);
		return [...this._listLocal(), ...others];
	}

	/** Takes a peer's message and returns this instance's own. */
	handleMessage(message: SyncMessage): SyncMessage {
		this._accept(message);
		const sender = message.members.find(member => member.id === message.from);
		return this._createMessage(message.from, sender?.failureDomain);
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	private _listLocal(): GatewayMember[] {
		const local = this._table.listLive(this._options.clock.now(), localLiveMs)
			.filter(member => member.failureDomain === this._self.failureDomain && member.id !== this._self.id);
		return [this._self, ...local];
	}

	private _findHub(failureDomain: string): GatewayMember | undefined {
		const members = failureDomain === this._self.failureDomain
			? this._listLocal()
			: this._table.listLive(this._options.clock.now(), remoteLiveMs).filter(member => member.failureDomain === failureDomain);
		return pickHub(members);
	}

	/** This instance and one of each failure domain, by which another domain finds the rest. */
	private _listHubs(): GatewayMember[] {
		const domains = new Set(this._table.members.map(member => member.failureDomain));
		const hubs = [...domains].flatMap(domain => this._findHub(domain) ?? []).filter(hub => hub.id !== this._self.id);
		return [this._self, ...hubs];
	}

	private _exchangeWithHubs(): Array<Promise<void>> {
		const domains = new Set(this._table.members.map(member => member.failureDomain));
		domains.delete(this._self.failureDomain);
		return [...domains].flatMap(domain => {
			const hub = this._findHub(domain);
			return hub === undefined ? [] : [this._exchange(hub.peerAddress, hub)];
		});
	}

	private async _askSeed(): Promise<void> {
		const others = this._seeds.filter(seed => seed !== this._self.peerAddress);
		const seed = others[this._round % others.length];
		if (seed !== undefined) {
			await this._exchange(seed, undefined);
		}
	}

	private async _exchange(peerAddress: string, peer: GatewayMember | undefined): Promise<void> {
		const answered = await this._options.client.exchange(peerAddress, this._createMessage(peer?.id, peer?.failureDomain));
		if (answered.isOk()) {
			this._accept(answered.value);
		} else if (peer !== undefined) {
			this._table.markSuspect(peer.id);
			this._options.logger.logInfo('peer-silent', {peer: peer.id, detail: answered.error.message});
		}
	}

	private _accept(message: SyncMessage): void {
		const {view, clock} = this._options;
		const now = clock.now();
		for (const member of message.members) {
			if (member.id !== this._self.id) {
				this._table.offer(member, now);
			}
		}

		this._peerViews.set(message.from, message.view);
		if (message.configuration !== undefined) {
			view.offerConfiguration(message.configuration);
		}

		if (message.targets !== undefined) {
			view.offerPeerTargets(message.view, message.targets);
		} else if (message.view.listContent > 0 && message.view.listContent === view.version.listContent) {
			view.confirmTargets(message.view.listConfirmed, message.view.listAgeMs);
		}
	}

	private _createMessage(peerId: string | undefined, failureDomain: string | undefined): SyncMessage {
		const {view} = this._options;
		const {version} = view;
		const known = peerId === undefined ? undefined : this._peerViews.get(peerId);
		const isLocal = failureDomain === this._self.failureDomain || failureDomain === undefined;
		const sendsConfiguration = known !== undefined && version.configuration > known.configuration;
		const sendsTargets = known !== undefined && version.listConfirmed > known.listConfirmed && version.listContent !== known.listContent;
		return {
			from: this._self.id,
			members: isLocal ? this.listLive() : this._listHubs(),
			view: version,
			...(sendsConfiguration && {configuration: view.configuration}),
			...(sendsTargets && {targets: view.targets}),
		};
	}
}
