import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {DisposableStore} from '../common/disposable-store.js';
import type {DisposableLike} from '../common/disposable-like.js';
import type {EntrySettings} from '../common/entry-settings.js';
import type {Instance} from '../common/instance.js';
import type {Metrics} from '../common/metrics.js';
import type {ServiceSpec} from '../common/service-spec.js';
import {CallerConnections} from '../controllers/caller-connections.js';
import {ConfigurationController} from '../controllers/configuration-controller.js';
import {ConnectionController} from '../controllers/connection-controller.js';
import {FleetController} from '../controllers/fleet-controller.js';
import {createDecisions} from '../controllers/create-decisions.js';
import {createTrackedListener} from '../controllers/create-tracked-listener.js';
import {KeyController} from '../controllers/key-controller.js';
import {MembershipController} from '../controllers/membership-controller.js';
import {PauseController} from '../controllers/pause-controller.js';
import {PauseWatch} from '../controllers/pause-watch.js';
import {PeerController} from '../controllers/peer-controller.js';
import {RouteController} from '../controllers/route-controller.js';
import {ShutdownController} from '../controllers/shutdown-controller.js';
import {AdmitFilter} from '../filters/admit-filter.js';
import {SendResponseFilter} from '../filters/send-response-filter.js';
import {ClassifyFilter} from '../filters/classify-filter.js';
import {DeadlineFilter} from '../filters/deadline-filter.js';
import {DispatchFilter} from '../filters/dispatch-filter.js';
import {createExceptionHandler} from '../filters/create-exception-handler.js';
import {FilterChain} from '../filters/filter-chain.js';
import {IdempotencyFilter} from '../filters/idempotency-filter.js';
import {TraceAttemptFilter} from '../filters/trace-attempt-filter.js';
import {HedgeFilter} from '../filters/hedge-filter.js';
import {PauseFilter} from '../filters/pause-filter.js';
import {OutcomeFilter} from '../filters/outcome-filter.js';
import {RetryFilter} from '../filters/retry-filter.js';
import {SocketReadTracker} from '../controllers/socket-read-tracker.js';
import {disabledMetrics} from '../io/disabled-metrics.js';
import {ProcessMetrics} from '../io/process-metrics.js';
import {StatsdMetrics} from '../io/statsd-metrics.js';
import {CallerCheck} from '../filters/caller-check.js';
import {ShutdownFilter} from '../filters/shutdown-filter.js';
import {RefuseDuringShutdownFilter} from '../filters/refuse-during-shutdown-filter.js';
import {DebugLogger} from '../io/debug-logger.js';
import type {HttpListener} from '../io/http-listener.js';
import {ListenerOpener} from '../io/listener-opener.js';
import {LoadClient} from '../io/load-client.js';
import {PeerServer} from '../io/peer/peer-server.js';
import {systemClock} from '../io/system-clock.js';
import {computeConnectionShare} from '../policy/compute-connection-share.js';
import {parseRequestTarget} from '../policy/parse-request-target.js';
import {createObservabilityFilters} from './create-observability-filters.js';
import {DataListener} from './data-listener.js';
import {StartEnd} from './start-end.js';

/** Time after which the peers' route responses no longer contain an instance that announced that it leaves, in ms. */
const leavingPropagationMs = 1000;

const peerResponseTimeoutMs = 300;

const createInstance = (settings: EntrySettings): Instance => ({
	id: settings.instance.id,
	host: settings.instance.host,
	dataPort: settings.instance.ports.data ?? settings.listeners.data.port,
	routePort: settings.instance.ports.route ?? settings.listeners.route.port,
	peerPort: settings.instance.ports.peer ?? settings.listeners.peer.port,
	operatorPort: settings.instance.ports.operator ?? settings.listeners.operator.port,
	failureDomain: settings.instance.failureDomain,
	region: settings.instance.region,
	leaving: false,
});

const writeJson = (response: ServerResponse, status: number, value: unknown): void => {
	const body = `${JSON.stringify(value)}\n`;
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	response.end(body);
};

/** One entry instance: creates its listeners, controllers and filters and connects them. */
export class EntryDaemon implements DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _logger: DebugLogger;
	private readonly _metrics: Metrics;
	private readonly _members: MembershipController;
	private readonly _configuration: ConfigurationController;
	private readonly _fleet: FleetController;
	private readonly _peers: PeerController;
	private readonly _routes: RouteController;
	private readonly _shutdown: ShutdownController;
	private readonly _decisions: ReturnType<typeof createDecisions>;
	private readonly _chain: FilterChain;
	private readonly _keys: KeyController;
	private readonly _pauseWatch: PauseWatch;
	private readonly _pauseController: PauseController;
	private readonly _readTracker = new SocketReadTracker(systemClock);
	private readonly _connections: CallerConnections;
	private readonly _dataListener: DataListener;
	private readonly _routeListener: HttpListener;
	private readonly _operatorListener: HttpListener;
	private readonly _peerServer: PeerServer;
	private readonly _opener: ListenerOpener;
	private _isStarted = false;

	constructor(private readonly _settings: EntrySettings) {
		this._logger = new DebugLogger(_settings.instance.id, 'entry');
		this._metrics = _settings.metrics.enabled ? this._store.add(new StatsdMetrics({..._settings.metrics, instanceId: _settings.instance.id})) : disabledMetrics;
		this._members = this._store.add(new MembershipController({
			self: createInstance(_settings), incarnation: Date.now(), clock: systemClock, logger: this._logger,
		}));
		this._configuration = this._store.add(new ConfigurationController({clock: systemClock, logger: this._logger}));
		this._store.add(this._configuration.onInstanceList(list => {
			this._members.acceptInstanceList(list);
			this._keys.updateListed(new Set(list.instances.map(instance => instance.id)));
		}));
		this._peers = this._store.add(new PeerController(this._members));
		this._keys = this._store.add(new KeyController({members: this._members, getPeer: id => this._peers.getClient(id), clock: systemClock}));
		this._fleet = this._store.add(new FleetController({
			settings: _settings, members: this._members, configuration: this._configuration, peers: this._peers, clock: systemClock, random: Math.random, logger: this._logger, metrics: this._metrics,
		}));
		this._routes = this._store.add(new RouteController({
			..._settings.routes, catalog: this._configuration, members: this._members, clock: systemClock, isListStale: () => this._fleet.isListStale,
		}));
		this._pauseWatch = this._store.add(new PauseWatch({clock: systemClock, logger: this._logger}));
		this._pauseController = this._store.add(this._createPauseController());
		this._shutdown = this._store.add(this._createShutdown());
		this._connections = new CallerConnections(_settings.limits.headerBytes, this._logger);
		this._decisions = this._createDecisions();
		this._chain = this._createChain();
		this._dataListener = this._store.add(new DataListener({
			limits: _settings.limits, chain: this._chain, connections: this._connections, pauseWatch: this._pauseWatch, readTracker: this._readTracker, logger: this._logger,
		}));
		if (_settings.metrics.enabled) {
			this._store.add(new ProcessMetrics(this._metrics, report => {
				this._dataListener.listener.server.getConnections((_error, count) => {
					report(count ?? 0);
				});
			}));
		}

		this._routeListener = this._store.add(createTrackedListener({}, (request, response) => {
			this._handleRoute(request, response);
		}, this._logger));
		this._operatorListener = this._store.add(createTrackedListener({}, (_request, response) => {
			writeJson(response, 200, this.describeStatus());
		}, this._logger));
		this._peerServer = this._store.add(new PeerServer({
			describeSelf: () => this._members.self,
			load: this._decisions.load,
			keys: this._keys,
			fleet: this._fleet.handlers,
		}));
		this._opener = this._store.add(new ListenerOpener({clock: systemClock, logger: this._logger}));
	}

	/** Reads the configuration and opens the listeners; an error names the address that could not be opened. */
	async start(): Promise<Result<StartEnd, Error>> {
		const {listeners} = this._settings;
		// Peers that start at the same time need responses from this instance before it serves callers.
		const internalResults = await Promise.all([this._opener.open(this._operatorListener, listeners.operator), this._opener.open(this._peerServer.listener, listeners.peer)]);
		await this._fleet.start();
		const publicResults = await Promise.all([this._opener.open(this._routeListener, listeners.route), this._opener.open(this._dataListener.listener, listeners.data)]);
		if (this._opener.isStopped) {
			return ok(StartEnd.Stopped);
		}

		const failed = [...internalResults, ...publicResults].find(result => result.isErr());
		if (failed?.isErr()) {
			return err(failed.error);
		}

		this._isStarted = true;

		this._logger.logInfo('entry-started', {services: this._configuration.listServices().length, filters: this._chain.names});
		return ok(StartEnd.Started);
	}

	/** Status of this instance and its view of the fleet, for operators. */
	describeStatus(): unknown {
		return this._fleet.describeStatus();
	}

	/** Ends the start, starts a graceful shutdown, or shortens one that has started. */
	handleSignal(): void {
		if (this._isStarted) {
			this._shutdown.handleSignal();
		} else {
			this._opener.dispose();
		}
	}

	/** Logs that the settings are read at the start only. */
	noteReloadSignal(): void {
		this._logger.logInfo('reload-ignored');
	}

	/** Resolves at the end of a graceful shutdown with the number of requests that were aborted. */
	async waitUntilStopped(): Promise<number> {
		return this._shutdown.waitUntilEnded();
	}

	dispose(): void {
		this._store.dispose();
	}

	private _createPauseController(): PauseController {
		const pauseController = new PauseController({watch: this._pauseWatch, refreshView: async () => this._waitForPeerMessages()});
		this._store.add(pauseController.onResumed(() => {
			this._keys.resetMembershipHistory();
		}));
		return pauseController;
	}

	/** Calls every peer and waits for the responses, each for a limited time; messages that a peer sent before its response have then been processed. */
	private async _waitForPeerMessages(): Promise<void> {
		const peers = this._members.listMembers().flatMap(member => this._peers.getClient(member.instance.id) ?? []);
		await Promise.allSettled(peers.map(async peer => peer.api.hello.query(undefined, {signal: AbortSignal.timeout(peerResponseTimeoutMs)})));
	}

	private _createShutdown(): ShutdownController {
		const {routes, shutdown} = this._settings;
		return new ShutdownController({
			announceLeaving: () => {
				this._members.markLeaving();
			},
			closeIdle: () => {
				const {server} = this._dataListener.listener;
				server.close();
				server.closeIdleConnections();
			},
			servingMs: routes.lifetimeMs + leavingPropagationMs,
			limitMs: shutdown.limitMs,
			clock: systemClock,
			logger: this._logger,
		});
	}

	private _createDecisions(): ReturnType<typeof createDecisions> {
		const loadClient = this._store.add(new LoadClient());
		return createDecisions({
			decisions: this._settings.decisions,
			catalog: this._configuration,
			routes: this._routes,
			members: this._members,
			peers: this._peers,
			queryLoad: async (service, target) => loadClient.queryLoad(service, target),
			clock: systemClock,
			logger: this._logger,
			metrics: this._metrics,
			random: Math.random,
			store: this._store,
		});
	}

	private _createChain(): FilterChain {
		const {limits} = this._settings;
		const connections = this._store.add(new ConnectionController({connectTimeoutMs: limits.connectTimeoutMs, clock: systemClock}));
		this._store.add(this._pauseController.onResumed(() => {
			connections.dropIdle();
		}));
		const getConnectionLimit = (service: ServiceSpec) => computeConnectionShare(service.connectionsPerTarget, this._members.maxInstances);
		return new FilterChain([
			...createObservabilityFilters(this._settings, this._metrics, this._store),
			new ShutdownFilter({shutdown: this._shutdown, connections: this._connections}),
			new SendResponseFilter(),
			new OutcomeFilter(),
			new ClassifyFilter(this._configuration),
			new DeadlineFilter(systemClock),
			new RefuseDuringShutdownFilter({shutdown: this._shutdown, isIdempotent: ({rule}) => rule?.idempotent ?? false}),
			new IdempotencyFilter({keys: this._keys, clock: systemClock}),
			new RetryFilter(this._decisions.budgets),
			new AdmitFilter(this._decisions.scheduler),
			...(this._settings.decisions.hedging ? [new HedgeFilter(this._decisions.scheduler, this._decisions.budgets)] : []),
			...(this._settings.tracing.enabled ? [new TraceAttemptFilter()] : []),
			new PauseFilter({pauseController: this._pauseController, clock: systemClock}),
			new DispatchFilter({
				connections, clock: systemClock, callerCheck: new CallerCheck({readTracker: this._readTracker, clock: systemClock}), getConnectionLimit,
			}),
		], createExceptionHandler(this._logger));
	}

	private _handleRoute(request: IncomingMessage, response: ServerResponse): void {
		const {path, query} = parseRequestTarget(request.url ?? '/');
		const [, root, service, ...rest] = path.split('/');
		if (root !== 'routes' || service === undefined || rest.length > 0) {
			writeJson(response, 404, {title: 'Not found', detail: 'use GET /routes/<service>?domain=<failure domain>'});
			return;
		}

		const routeResponse = this._routes.resolveRoute(service, query.get('domain') ?? undefined);
		if (routeResponse === undefined) {
			writeJson(response, 404, {title: 'No such service', detail: `no service is named "${service}"`});
			return;
		}

		writeJson(response, 200, routeResponse);
	}
}
