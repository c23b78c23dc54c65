import type {IncomingMessage, ServerOptions, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import type {GatewaySettings} from '../common/gateway/gateway-settings.js';
import type {Logger} from '../common/logger.js';
import {createTrackedListener} from '../controllers/create-tracked-listener.js';
import type {ClientConnections} from '../controllers/gateway/client-connections.js';
import {HeadMemory} from '../controllers/gateway/head-memory.js';
import type {MemberController} from '../controllers/gateway/member-controller.js';
import type {ByteMeter} from '../io/gateway/byte-meter.js';
import {createCallHandler} from '../io/gateway/create-call-handler.js';
import {createSyncRouter} from '../io/gateway/create-sync-router.js';
import {parseAddress} from '../io/gateway/parse-address.js';
import type {HttpListener} from '../io/http-listener.js';
import {ListenerOpener} from '../io/listener-opener.js';
import {systemClock} from '../io/system-clock.js';
import {HeldBytes} from '../policy/gateway/held-bytes.js';
import type {CallerListener} from './caller-listener.js';
import type {GatewayEndpoints} from './gateway-endpoints.js';
import {StartEnd} from './start-end.js';

type GatewayListenersOptions = {
	readonly settings: GatewaySettings;
	readonly callerListener: CallerListener;
	readonly endpoints: GatewayEndpoints;
	readonly members: MemberController;
	readonly clients: ClientConnections;
	/** Bytes of a caller's body that are read and dropped after its request was answered. */
	readonly getDroppedBytes: () => number;
	/** Counts the bytes exchanged with peers. */
	readonly peerMeter: ByteMeter;
	readonly logger: Logger;
	/** Logger for errors that callers can cause. */
	readonly notableLogger: Pick<Logger, 'logError'>;
};

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** The inputs of all calls of peers in progress may take the memory limit divided by this; a full message takes 1 MB. */
const peerMemoryDivisor = 16;
/** The unfinished heads of all listeners may have the memory limit divided by this; on the heap, small headers take over ten times their size. */
const headMemoryDivisor = 128;
/** Memory that an unfinished head takes at most, as a factor of its size. */
const headMemoryFactor = 20;
/** Time within which a call of a peer has to arrive, in ms; a peer gives up after a tenth of it. */
const peerRequestTimeoutMs = 4000;
/** Time within which other requests that have no body of use have to arrive, in ms. */
const questionTimeoutMs = 10_000;
const connectionCheckMs = 1000;
/** Requests in progress on one connection of an instance's own listeners; nobody pipelines there. */
const questionsPerConnection = 32;
/** Bytes of a body that are read and dropped where no request has one. */
const droppedQuestionBytes = 65_536;

/** The listeners of a gateway: for callers, readiness checks, questions for addresses, peers and metrics. */
export class GatewayListeners implements DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _readiness: HttpListener;
	private readonly _route: HttpListener;
	private readonly _peer: HttpListener;
	private readonly _metrics: HttpListener;
	private readonly _opener: ListenerOpener;
	private readonly _headMemory: HeadMemory;
	private readonly _peerMemory: HeldBytes;

	constructor(private readonly _options: GatewayListenersOptions) {
		const {settings, callerListener, endpoints, members, clients, getDroppedBytes, peerMeter, logger, notableLogger} = _options;
		this._readiness = this._createListener({}, (request, response) => {
			endpoints.handleReadiness(request, response);
		});
		this._route = this._createListener({}, (request, response) => {
			endpoints.handleResolve(request, response);
		});
		this._peerMemory = new HeldBytes(settings.limits.memoryBytes / peerMemoryDivisor, () => clients.totalFreeBytes);
		const handlePeerCall = createCallHandler(createSyncRouter(members, logger), this._peerMemory);
		this._peer = this._createListener({keepAliveTimeout: 30_000, requestTimeout: peerRequestTimeoutMs}, async (request, response) => {
			await handlePeerCall(request, response);
		});
		this._peer.server.on('connection', (socket: Socket) => {
			peerMeter.add(socket);
		});
		this._metrics = this._createListener({}, async (request, response) => {
			await endpoints.handleOperator(request, response);
		});
		this._headMemory = this._store.add(new HeadMemory({limitBytes: settings.limits.memoryBytes / headMemoryDivisor, logger: notableLogger}));
		for (const {server} of [callerListener.listener, this._readiness, this._route, this._peer, this._metrics]) {
			this._headMemory.watch(server);
			clients.watch(server, server === callerListener.listener.server ? getDroppedBytes : () => droppedQuestionBytes);
		}

		this._opener = this._store.add(new ListenerOpener({clock: systemClock, logger}));
	}

	/** Memory that calls of peers and unfinished heads of requests take, in bytes. */
	get heldBytes(): number {
		return this._peerMemory.held + (this._headMemory.unfinishedBytes * headMemoryFactor);
	}

	/** Opens all listeners; an error names the address that could not be opened. */
	async open(): Promise<Result<StartEnd, Error>> {
		const {listeners} = this._options.settings;
		const results = await Promise.all([
			this._opener.open(this._options.callerListener.listener, parseAddress(listeners.data)),
			this._opener.open(this._readiness, parseAddress(listeners.readiness)),
			this._opener.open(this._route, parseAddress(listeners.route)),
			this._opener.open(this._peer, parseAddress(listeners.peer)),
		]);
		if (this._opener.isStopped) {
			return ok(StartEnd.Stopped);
		}

		const failed = results.find(result => result.isErr());
		if (failed?.isErr()) {
			return err(failed.error);
		}

		// Metrics are of no use to callers, so their address holds nothing up, and the others come first.
		this._opener.openInBackground(this._metrics, parseAddress(listeners.metrics));
		return ok(StartEnd.Started);
	}

	/** Ends the attempts to open listeners. */
	stopOpening(): void {
		this._opener.dispose();
	}

	dispose(): void {
		this._store.dispose();
	}

	/** Creates a listener that passes on the requests for which there is memory. */
	private _createListener(options: ServerOptions, handle: RequestHandler): HttpListener {
		const {clients, notableLogger} = this._options;
		const limits = {requestTimeout: questionTimeoutMs, headersTimeout: peerRequestTimeoutMs, connectionsCheckingInterval: connectionCheckMs};
		return this._store.add(createTrackedListener({...limits, ...options}, async (request, response) => {
			if (clients.admit(request, response, questionsPerConnection)) {
				await handle(request, response);
			}
		}, notableLogger));
	}
}
