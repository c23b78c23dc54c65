import {maxHeaderSize} from 'node:http';
import {ok, type Result} from 'neverthrow';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import type {GatewaySettings} from '../common/gateway/gateway-settings.js';
import type {SiteInterface} from '../common/gateway/site-interface.js';
import type {BufferedResponse} from '../common/gateway/buffered-response.js';
import type {Logger} from '../common/logger.js';
import {CallerConnections} from '../controllers/caller-connections.js';
import {ClientConnections} from '../controllers/gateway/client-connections.js';
import {createColdTargetOwners} from '../controllers/gateway/create-cold-target-owners.js';
import {EntryController} from '../controllers/gateway/entry-controller.js';
import {IntakeController} from '../controllers/gateway/intake-controller.js';
import {MemberController} from '../controllers/gateway/member-controller.js';
import {PlacementController} from '../controllers/gateway/placement-controller.js';
import {SiteView} from '../controllers/gateway/site-view.js';
import {RegistryReader} from '../controllers/gateway/registry-reader.js';
import {StateReporter} from '../controllers/gateway/state-reporter.js';
import {PauseWatch} from '../controllers/pause-watch.js';
import {ShutdownController} from '../controllers/shutdown-controller.js';
import {SocketReadTracker} from '../controllers/socket-read-tracker.js';
import {type FilterChain} from '../filters/filter-chain.js';
import type {GatewayContext} from '../filters/gateway/gateway-context.js';
import {RateLimitedLogger} from '../io/gateway/rate-limited-logger.js';
import {ByteMeter} from '../io/gateway/byte-meter.js';
import {ResidentMemory} from '../io/gateway/resident-memory.js';
import {ScrapedMetrics} from '../io/gateway/scraped-metrics.js';
import {SyncClient} from '../io/gateway/sync-client.js';
import {systemClock} from '../io/system-clock.js';
import {addressTtlMs} from '../policy/gateway/address-ttl-ms.js';
import {FleetShare} from '../policy/gateway/fleet-share.js';
import {ResponseMemory} from '../policy/gateway/response-memory.js';
import {computeResponseLimit} from '../policy/gateway/compute-response-limit.js';
import {computeClientLimits} from '../policy/gateway/compute-client-limits.js';
import {CallerListener} from './caller-listener.js';
import {createGatewayChain} from './create-gateway-chain.js';
import {GatewayEndpoints} from './gateway-endpoints.js';
import {GatewayListeners} from './gateway-listeners.js';
import {StartEnd} from './start-end.js';

type GatewayDaemonOptions = {
	readonly settings: GatewaySettings;
	readonly site: SiteInterface;
	readonly logger: Logger;
};

/** Log lines per second for requests that failed, were refused or took more than one attempt; each line occupies the event loop for 0.1 ms. */
const notableLinesPerSecond = 50;
const msPerSecond = 1000;
/** Time left in a graceful shutdown after the last responses are flushed, in ms: for notifying the peers and for timers that fire late under load. */
const stopReserveMs = 300;
/** Time for which callers may still use cached addresses that include this instance after a shutdown is announced, in ms: three TTLs. */
const cachedAddressesMs = 3 * addressTtlMs;

/** One gateway instance: creates its listeners, controllers and filters and connects them. */
export class GatewayDaemon implements DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _metrics = new ScrapedMetrics();
	private readonly _notableLogger: RateLimitedLogger;
	private readonly _peerMeter = new ByteMeter();
	private readonly _reporter: StateReporter;
	private readonly _view: SiteView;
	private readonly _members: MemberController;
	private readonly _registryReader: RegistryReader;
	private readonly _entries: EntryController;
	private readonly _shutdown: ShutdownController;
	private readonly _placement: PlacementController;
	private readonly _pauseWatch: PauseWatch;
	private readonly _readTracker = new SocketReadTracker(systemClock);
	private readonly _intake: IntakeController;
	private readonly _chain: FilterChain<GatewayContext, BufferedResponse>;
	private readonly _connections: CallerConnections;
	private readonly _callerListener: CallerListener;
	private readonly _responseMemory: ResponseMemory;
	private readonly _clients: ClientConnections;
	private readonly _listeners: GatewayListeners;
	private _isStarted = false;
	private _isStopping = false;
	private _isServing = false;

	constructor(private readonly _options: GatewayDaemonOptions) {
		const {settings, logger, site} = _options;
		this._notableLogger = new RateLimitedLogger({logger, clock: systemClock, linesPerSecond: notableLinesPerSecond});
		this._connections = new CallerConnections(maxHeaderSize, this._notableLogger);
		this._metrics.recordGauge('process.start_time_seconds', Math.floor(performance.timeOrigin / msPerSecond));
		this._view = this._store.add(new SiteView({clock: systemClock, logger, evacuationMs: settings.limits.evacuationMs}));
		this._members = this._store.add(new MemberController({
			self: {
				id: settings.instance.id,
				failureDomain: settings.instance.failureDomain,
				dataAddress: settings.listeners.data,
				peerAddress: settings.listeners.peer,
				cores: settings.limits.cores,
				incarnation: Date.now(),
			},
			seeds: settings.seeds,
			client: this._store.add(new SyncClient(this._peerMeter, this._metrics, logger)),
			view: this._view,
			clock: systemClock,
			random: Math.random,
			logger,
			metrics: this._metrics,
		}));
		this._registryReader = this._store.add(new RegistryReader({
			source: site.source,
			view: this._view,
			logger,
			metrics: this._metrics,
			random: Math.random,
			isReader: () => this._members.isReader,
			isStandbyReader: () => this._members.isStandbyReader,
			isJoined: () => this._members.isJoined,
			clock: systemClock,
			onRead: canRead => {
				this._members.setCanRead(canRead);
			},
			waitsForPeers: settings.isFirstStart,
			targetChangeMs: settings.limits.targetChangeMs,
			configurationChangeMs: settings.limits.configurationChangeMs,
		}));
		this._reporter = this._store.add(new StateReporter({
			view: this._view,
			logger,
			metrics: this._metrics,
			clock: systemClock,
			countInstances: () => this._members.listRunning().length,
			countPeerBytes: () => this._peerMeter.totalBytes,
		}));
		this._entries = new EntryController({members: this._members, view: this._view, settings});
		this._shutdown = this._store.add(this._createShutdown());
		this._pauseWatch = this._store.add(new PauseWatch({clock: systemClock, logger}));
		this._placement = this._store.add(new PlacementController({
			settings,
			view: this._view,
			headers: site.headers,
			logger: this._notableLogger,
			metrics: this._metrics,
			clock: systemClock,
			random: Math.random,
			coldTargetOwners: createColdTargetOwners({
				settings, members: this._members, view: this._view, store: this._store,
			}),
			share: new FleetShare({
				clock: systemClock,
				failureDomainCount: settings.failureDomains.length,
				windowMs: settings.limits.retryWindowMs,
				countLocal: () => this._members.localCount,
				isJoined: () => this._members.isJoined,
			}),
			computeTrafficFactor: service => this._entries.computeTrafficFactor(service),
		}));
		this._intake = this._store.add(new IntakeController({clock: systemClock, random: Math.random, metrics: this._metrics}));
		this._responseMemory = new ResponseMemory({
			getLimitBytes: () => computeResponseLimit(settings.limits.memoryBytes, this._responseMemory.heldBytes + this._clients.freeBytes),
			clock: systemClock,
			onEvicted: bytes => {
				this._metrics.countEvent('response.evicted', {});
				this._notableLogger.logError('response-evicted', {bytes, heldBytes: this._responseMemory.heldBytes});
			},
		});
		this._clients = this._store.add(new ClientConnections({
			limits: computeClientLimits(settings.limits),
			processLimitBytes: settings.limits.memoryBytes,
			residentMemory: new ResidentMemory(systemClock),
			countOtherBytes: () => this._responseMemory.heldBytes + this._listeners.heldBytes,
			metrics: this._metrics,
			logger: this._notableLogger,
		}));
		this._chain = createGatewayChain({
			settings,
			site,
			view: this._view,
			logger,
			notableLogger: this._notableLogger,
			metrics: this._metrics,
			connections: this._connections,
			shutdown: this._shutdown,
			intake: this._intake,
			placement: this._placement,
			readTracker: this._readTracker,
			clients: this._clients,
			responseMemory: this._responseMemory,
		});
		this._callerListener = this._store.add(this._createCallerListener());
		const endpoints = new GatewayEndpoints({
			site,
			view: this._view,
			entries: this._entries,
			metrics: this._metrics,
			logger,
			isServing: () => this._isServing,
			instance: settings.instance,
			placement: this._placement,
			shutdown: this._shutdown,
			clients: this._clients,
			intake: this._intake,
			responseMemory: this._responseMemory,
		});
		this._listeners = this._store.add(new GatewayListeners({
			settings,
			callerListener: this._callerListener,
			endpoints,
			members: this._members,
			clients: this._clients,
			getDroppedBytes: () => this._view.configuration?.limits.bodyBytes ?? 0,
			peerMeter: this._peerMeter,
			logger,
			notableLogger: this._notableLogger,
		}));
	}

	/** Opens the listeners and starts to fetch configuration, targets and members; an error names the address that could not be opened. */
	async start(): Promise<Result<StartEnd, Error>> {
		const opened = await this._listeners.open();
		if (opened.isErr() || opened.value === StartEnd.Stopped) {
			return opened;
		}

		this._isStarted = true;
		void this._registryReader.start();
		this._members.start();
		this._reporter.start();
		this._store.add(this._view.onComplete(() => {
			this._updateServing();
		}));

		// Peers may have completed the view while an address was still taken.
		this._updateServing();
		this._options.logger.logInfo('gateway-started', {listeners: this._options.settings.listeners, filters: this._chain.names});
		return ok(StartEnd.Started);
	}

	/** Applies the seeds of reloaded settings; changes to other settings take effect at the next start. */
	applySettings({seeds}: GatewaySettings): void {
		this._members.setSeeds(seeds);
		this._options.logger.logInfo('settings-reloaded', {seeds});
	}

	/** Ends the start, or starts a graceful shutdown; does nothing once one has started. */
	handleSignal(): void {
		if (!this._isStarted) {
			this._listeners.stopOpening();
		} else if (!this._isStopping) {
			this._shutdown.handleSignal();
		}
	}

	/** Resolves at the end of a graceful shutdown with the number of requests that were aborted. */
	async waitUntilStopped(): Promise<number> {
		const abortedCount = await this._shutdown.waitUntilEnded();
		await this._members.announceLeaving();
		return abortedCount;
	}

	dispose(): void {
		this._store.dispose();
	}

	private _createShutdown(): ShutdownController {
		const limitMs = this._options.settings.limits.stopMs - stopReserveMs;
		return new ShutdownController({
			announceLeaving: () => {
				this._isStopping = true;
				this._updateServing();
			},
			closeIdle: () => {
				this._callerListener.closeIdle();
			},
			servingMs: Math.min(cachedAddressesMs, limitMs / 2),
			limitMs,
			clock: systemClock,
			logger: this._options.logger,
		});
	}

	private _createCallerListener(): CallerListener {
		const listener = new CallerListener({
			chain: this._chain,
			connections: this._connections,
			clients: this._clients,
			intake: this._intake,
			pauseWatch: this._pauseWatch,
			readTracker: this._readTracker,
			requestIdHeader: this._options.site.headers.requestId,
			logger: this._notableLogger,
		});
		this._store.add(this._view.onConfiguration(({limits}) => {
			listener.setLimits(limits);
		}));
		return listener;
	}

	private _updateServing(): void {
		const isServing = this._view.isComplete && !this._isStopping;
		if (isServing !== this._isServing) {
			this._isServing = isServing;
			this._members.setServing(isServing);
		}
	}
}
