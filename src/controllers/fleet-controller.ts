import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import type {EntrySettings} from '../common/entry-settings.js';
import type {FleetStatus} from '../common/fleet-status.js';
import type {Logger} from '../common/logger.js';
import type {Metrics} from '../common/metrics.js';
import type {FleetHandlers} from '../io/peer/fleet-handlers.js';
import {PlatformClient} from '../io/platform-client.js';
import {runTask} from '../io/run-task.js';
import type {ConfigurationController} from './configuration-controller.js';
import {ConfigurationExchange} from './configuration-exchange.js';
import {GossipController} from './gossip-controller.js';
import type {MembershipController} from './membership-controller.js';
import type {PeerController} from './peer-controller.js';
import {PlatformReader} from './platform-reader.js';

type FleetOptions = {
	readonly settings: Pick<EntrySettings, 'platform' | 'peers'>;
	readonly members: MembershipController;
	readonly configuration: ConfigurationController;
	readonly peers: PeerController;
	readonly clock: Clock;
	readonly random: () => number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Age of the last read from the configuration service above which the instance list counts as stale, in ms. */
const staleAfterMs = 30_000;
/** Maximum time for which a new process waits for its initial configuration, in ms. */
const initialReadTimeoutMs = 4000;

/** Connects this instance to its peers and to the configuration service. */
export class FleetController implements DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _exchange: ConfigurationExchange;
	private readonly _gossip: GossipController;
	private readonly _reader: PlatformReader;
	private readonly _startedAt: number;

	constructor(private readonly _options: FleetOptions) {
		const {settings, configuration, clock} = _options;
		this._startedAt = clock.now();
		this._exchange = this._store.add(new ConfigurationExchange({..._options, getGossipPeers: () => this._gossip.gossipPeers}));
		this._gossip = this._store.add(new GossipController({
			..._options,
			seeds: settings.peers.seeds,
			getConfigurationDigest: () => configuration.digest,
			onConfigurationDiffers: id => {
				void runTask(_options, 'configuration-exchange', async () => this._exchange.reconcileWith(id));
			},
		}));
		this._reader = this._store.add(new PlatformReader({
			..._options, ...settings.platform, platform: this._store.add(new PlatformClient(settings.platform.urls)),
		}));
	}

	/** Handlers of the calls that peers make to this instance. */
	get handlers(): FleetHandlers {
		const gossip = this._gossip;
		const exchange = this._exchange;
		return {
			handlePing: message => gossip.handlePing(message),
			relayPing: async id => gossip.relayPing(id),
			acceptRecords: records => gossip.acceptRecords(records),
			reconcileRecords: summaries => gossip.reconcileRecords(summaries),
			acceptAnnouncement(refs, peerId) {
				exchange.acceptAnnouncement(refs, peerId);
			},
			listRevisions: () => exchange.listRevisions(),
			readValues: requests => exchange.readValues(requests),
		};
	}

	/** Whether this instance has not read from the configuration service for too long. */
	get isListStale(): boolean {
		return (this._reader.readAgeMs ?? this._options.clock.now() - this._startedAt) > staleAfterMs;
	}

	/** Loads members and configuration from peers and the configuration service, keeping the newest of each. */
	async start(): Promise<void> {
		await this._reader.readInstances();
		await this._gossip.connectPeers();
		await this._exchange.loadFromPeers();
		this._gossip.start();
		await this._reader.start(initialReadTimeoutMs);
	}

	/** Describes this instance's view of the fleet, for operators. */
	describeStatus(): FleetStatus {
		const {members, configuration} = this._options;
		return {
			self: members.self,
			members: members.listRecords(),
			watchedPeers: this._gossip.watchedPeers,
			services: configuration.listActiveServices().map(({spec, parametersRevision, template, templateRevision}) => ({
				name: spec.name, parametersRevision, template, templateRevision,
			})),
			revisions: Object.fromEntries(configuration.keys.map(key => [key, configuration.getNewest(key)?.revision ?? 0])),
			refused: configuration.refused,
			platform: {
				watchedKeys: this._reader.watchedKeys, callCount: this._reader.callCount, ...this._reader.budget, readAgeMs: this._reader.readAgeMs, isStale: this.isListStale,
			},
		};
	}

	dispose(): void {
		this._store.dispose();
	}
}
