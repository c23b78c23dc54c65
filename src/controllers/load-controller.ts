import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import type {EntrySettings} from '../common/entry-settings.js';
import type {LoadQuery} from '../common/load-query.js';
import type {Logger} from '../common/logger.js';
import type {MemberDirectory} from '../common/member-directory.js';
import type {Metrics} from '../common/metrics.js';
import type {RouteResolver} from '../common/route-resolver.js';
import type {ServiceCatalog} from '../common/service-catalog.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {LoadFeedMessage} from '../common/load-feed-message.js';
import type {TargetCounts} from '../common/target-counts.js';
import type {TargetSpec} from '../common/target-spec.js';
import type {LoadHandlers} from '../io/peer/load-handlers.js';
import {runTask} from '../io/run-task.js';
import {ByteRateLimiter} from '../policy/schedule/byte-rate-limiter.js';
import {computeCautiousLimit} from '../policy/schedule/compute-cautious-limit.js';
import {ProbeRateLimiter} from '../policy/schedule/probe-rate-limiter.js';
import {LoadFeed} from './load-feed.js';
import type {PeerController} from './peer-controller.js';
import type {ScheduleController} from './schedule-controller.js';

type LoadOptions = {
	readonly schedule: ScheduleController;
	readonly catalog: ServiceCatalog;
	readonly routes: RouteResolver;
	readonly members: MemberDirectory;
	readonly peers: PeerController;
	readonly queryLoad: LoadQuery;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly decisions: EntrySettings['decisions'];
};

type SubscribedPeer = {
	readonly id: string;
	readonly services: readonly string[];
};

type PeerSubscription = {
	/** Names of the subscribed services, joined with commas. */
	readonly services: string;
	stop(): void;
};

const refreshIntervalMs = 100;
const resubscribeDelayMs = 500;
/** Maximum age at which the time of short requests is sent to peers, in ms. */
const maxShortTimeAgeMs = 50;

/** Exchanges in-flight counts with the other entries of each service, and polls the load of targets within the probe rate limit. */
export class LoadController implements LoadHandlers, DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _feeds = new Set<LoadFeed>();
	private readonly _subscriptions = new Map<string, PeerSubscription>();
	private readonly _probeRateLimiters = new Map<string, ProbeRateLimiter>();
	private readonly _byteRateLimiter: ByteRateLimiter;
	private readonly _timer: NodeJS.Timeout;

	constructor(private readonly _options: LoadOptions) {
		this._byteRateLimiter = new ByteRateLimiter(_options.decisions.shareBytesPerSecond);
		this._store.add(_options.schedule.onCountChanged(({service, targetId}) => {
			for (const feed of this._feeds) {
				feed.markChanged(service, targetId);
			}
		}));
		this._store.add(_options.catalog.onServiceRemoved(name => {
			_options.schedule.removeService(name);
		}));
		this._timer = setInterval(() => {
			void runTask(_options, 'load-refresh', () => {
				this._refresh();
			});
		}, refreshIntervalMs);
	}

	async * watchLoad(services: readonly string[], signal: AbortSignal | undefined): AsyncGenerator<LoadFeedMessage> {
		const requested = new Set(services);
		const {clock, decisions} = this._options;
		const feed = new LoadFeed({
			clock,
			intervalMs: decisions.shareIntervalMs,
			budget: this._byteRateLimiter,
			listStates: () => this._listStates(requested),
			getState: (service, targetId) => requested.has(service) ? this._findState(service, targetId) : undefined,
		});
		this._feeds.add(feed);
		try {
			yield * feed.streamMessages(signal);
		} finally {
			this._feeds.delete(feed);
		}
	}

	dispose(): void {
		clearInterval(this._timer);
		for (const subscription of this._subscriptions.values()) {
			subscription.stop();
		}

		this._subscriptions.clear();
		this._store.dispose();
	}

	private _refresh(): void {
		const wanted = new Map<string, string[]>();
		const ownId = this._options.members.self.instance.id;
		for (const service of this._options.catalog.listServices()) {
			const entries = this._options.routes.listEntries(service.name).map(member => member.instance.id);
			const isEntry = entries.length === 0 || entries.includes(ownId);
			this._options.schedule.getScheduler(service).maxInFlight = isEntry ? Number.POSITIVE_INFINITY : computeCautiousLimit(service, this._options.decisions.cautiousShare);
			if (!isEntry) {
				continue;
			}

			this._pollTargets(service);
			for (const id of entries.filter(entry => entry !== ownId)) {
				wanted.set(id, [...(wanted.get(id) ?? []), service.name]);
			}
		}

		this._updateSubscriptions(wanted);
	}

	private _updateSubscriptions(wanted: ReadonlyMap<string, readonly string[]>): void {
		for (const [peerId, subscription] of this._subscriptions) {
			if (wanted.get(peerId)?.join(',') !== subscription.services) {
				subscription.stop();
				this._subscriptions.delete(peerId);
			}
		}

		for (const [peerId, services] of wanted) {
			if (!this._subscriptions.has(peerId)) {
				this._subscribeToPeer(peerId, services);
			}
		}
	}

	private _subscribeToPeer(peerId: string, services: readonly string[]): void {
		const client = this._options.peers.getClient(peerId);
		if (client === undefined) {
			return;
		}

		let counts: readonly TargetCounts[] = [];
		const resubscribeLater = () => {
			setTimeout(() => {
				stream.unsubscribe();
				if (this._subscriptions.get(peerId) === subscription) {
					this._subscriptions.delete(peerId);
				}
			}, resubscribeDelayMs).unref();
		};

		const stream = client.api.load.watch.subscribe({services: [...services]}, {
			onData: message => {
				void runTask(this._options, 'load-message', () => {
					counts = this._acceptMessage({id: peerId, services}, counts, message);
				});
			},
			onError: resubscribeLater,
			onComplete: resubscribeLater,
		});
		const subscription: PeerSubscription = {
			services: services.join(','),
			stop: () => {
				stream.unsubscribe();
				this._removePeerCounts(peerId);
			},
		};
		this._subscriptions.set(peerId, subscription);
	}

	/** Applies a message and returns the peer's updated counts. */
	private _acceptMessage(peer: SubscribedPeer, previous: readonly TargetCounts[], message: LoadFeedMessage): readonly TargetCounts[] {
		switch (message.kind) {
			case 'whole': {
				this._applyCounts(peer, message.targets, true);
				return message.targets;
			}

			case 'changes': {
				const counts = [...previous];
				const changed: TargetCounts[] = [];
				for (const [index, inFlight, longInFlight, shortMs, draining] of message.changes) {
					const current = counts[index];
					if (current !== undefined) {
						const updated = {
							...current, inFlight, longInFlight, shortMs, isDraining: draining === 1,
						};
						counts[index] = updated;
						changed.push(updated);
					}
				}

				this._applyCounts(peer, changed, false);
				return counts;
			}
		}
	}

	private _applyCounts(peer: SubscribedPeer, counts: readonly TargetCounts[], isSnapshot: boolean): void {
		const now = this._options.clock.now();
		const {schedule, catalog} = this._options;
		for (const name of peer.services) {
			const service = catalog.getService(name);
			const serviceCounts = counts.filter(count => count.service === name);
			if (service === undefined) {
				continue;
			}

			// A message without changes still confirms that the counts are current.
			const scheduler = schedule.getScheduler(service);
			scheduler.load.acceptCounts(peer.id, serviceCounts, now, isSnapshot);
			schedule.serveQueue(scheduler);
		}
	}

	private _removePeerCounts(peerId: string): void {
		for (const service of this._options.catalog.listServices()) {
			this._options.schedule.getScheduler(service).load.peers.removePeer(peerId);
		}
	}

	private _listStates(services: ReadonlySet<string>) {
		return this._options.catalog.listServices()
			.filter(service => services.has(service.name))
			.flatMap(service => service.targets.map(target => this._createState(service, target)));
	}

	private _findState(name: string, targetId: string) {
		const service = this._options.catalog.getService(name);
		const target = service?.targets.find(candidate => candidate.id === targetId);
		return service === undefined || target === undefined ? undefined : this._createState(service, target);
	}

	private _createState(service: ServiceSpec, target: TargetSpec) {
		const now = this._options.clock.now();
		const {load} = this._options.schedule.getScheduler(service);
		const state = load.getTarget(target.id);
		return {
			isFull: load.estimateFreeSlots(target, now) < 1,
			share: {
				service: service.name,
				targetId: target.id,
				inFlight: state?.inFlight ?? 0,
				longInFlight: state?.longInFlight ?? 0,
				shortMs: Math.round(state?.getRecentShortMs(now, maxShortTimeAgeMs) ?? 0),
				isDraining: state?.hasSeenDrainSignal(now) ?? false,
			},
		};
	}

	private _pollTargets(service: ServiceSpec): void {
		const now = this._options.clock.now();
		for (const target of service.targets) {
			const key = `${service.name}/${target.id}`;
			let rateLimiter = this._probeRateLimiters.get(key);
			if (rateLimiter === undefined) {
				rateLimiter = new ProbeRateLimiter();
				this._probeRateLimiters.set(key, rateLimiter);
			}

			if (rateLimiter.tryTake(now, service.probesPerTargetPerSecond, this._options.members.maxInstances)) {
				void runTask(this._options, 'load-poll', async () => this._pollTarget(service, target));
			}
		}
	}

	private async _pollTarget(service: ServiceSpec, target: TargetSpec): Promise<void> {
		const report = await this._options.queryLoad(service, target);
		if (report !== undefined) {
			this._options.schedule.getScheduler(service).acceptReport(target.id, report, this._options.clock.now());
		}
	}
}
