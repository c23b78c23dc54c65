import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {DisposableLike} from '../common/disposable-like.js';
import type {EntrySettings} from '../common/entry-settings.js';
import {ErrorKind} from '../common/error-kind.js';
import type {Logger} from '../common/logger.js';
import {RequestError} from '../common/request-error.js';
import type {CallerConnections} from '../controllers/caller-connections.js';
import type {PauseWatch} from '../controllers/pause-watch.js';
import type {SocketReadTracker} from '../controllers/socket-read-tracker.js';
import {writeProblem} from '../io/write-problem.js';
import type {FilterChain} from '../filters/filter-chain.js';
import {RequestContext} from '../filters/request-context.js';
import {CallerWatch} from '../io/caller-watch.js';
import {HttpListener} from '../io/http-listener.js';
import {checkRequestHead} from '../policy/check-request-head.js';
import {maxPipelinedRequests} from '../policy/max-pipelined-requests.js';

type DataListenerOptions = {
	readonly limits: EntrySettings['limits'];
	readonly chain: Pick<FilterChain, 'run'>;
	readonly connections: CallerConnections;
	readonly pauseWatch: Pick<PauseWatch, 'estimateArrival'>;
	readonly readTracker: Pick<SocketReadTracker, 'recordRead'>;
	readonly logger: Pick<Logger, 'logError'>;
};

const keepAliveTimeoutMs = 60_000;
const maxCheckIntervalMs = 1000;

/** Listens for callers' requests: refuses malformed, oversized and slow ones and passes the others to the filter chain. */
export class DataListener implements DisposableLike {
	readonly listener: HttpListener;
	private readonly _callerWatch = new CallerWatch();

	constructor(private readonly _options: DataListenerOptions) {
		const {limits, connections} = _options;
		this.listener = new HttpListener({
			maxHeaderSize: limits.headerBytes,
			headersTimeout: limits.headersTimeoutMs,
			requestTimeout: limits.requestTimeoutMs,
			connectionsCheckingInterval: Math.min(maxCheckIntervalMs, Math.ceil(limits.headersTimeoutMs / 4)),
			noDelay: true,
			keepAliveTimeout: keepAliveTimeoutMs,
			requireHostHeader: false,
		}, (request, response) => {
			this._handleRequest(request, response, false);
		}, _options.logger);
		const {server} = this.listener;
		server.maxConnections = limits.callerConnections;
		// Headers are limited by size; with a limit on their number, Node.js would silently drop the excess ones.
		server.maxHeadersCount = 0;
		server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
			this._handleRequest(request, response, true);
		});
		server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
			this._handleRequest(request, response, false);
		});
		server.on('connect', (_request: IncomingMessage, socket: Duplex) => {
			socket.on('error', () => undefined);
			connections.refuseRest(socket, new RequestError(ErrorKind.MethodNotAllowed, 'method CONNECT is not passed on'));
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
			void connections.handleClientError(error, socket);
		});
	}

	dispose(): void {
		this.listener.dispose();
	}

	private _handleRequest(request: IncomingMessage, response: ServerResponse, isContinueExpected: boolean): void {
		const {limits, chain, connections, pauseWatch, readTracker} = this._options;
		const context = new RequestContext(request, response, {receivedAt: pauseWatch.estimateArrival(), readAt: readTracker.recordRead()});
		if (!connections.add(context)) {
			return;
		}

		this._watchCaller(context, request.socket);
		const checked = checkRequestHead({method: request.method ?? '', target: request.url ?? '', rawHeaders: request.rawHeaders}, limits.bodyBytes);
		if (checked.isErr()) {
			writeProblem(context, checked.error);
			return;
		}

		if (connections.countOpen(request.socket) > maxPipelinedRequests) {
			writeProblem(context, new RequestError(ErrorKind.QueueFull, `more than ${maxPipelinedRequests} requests are in progress on this connection`));
			return;
		}

		request.url = checked.value;
		if (request.headers['transfer-encoding'] !== undefined) {
			this._limitBody(context);
		}

		if (isContinueExpected) {
			response.writeContinue();
		}

		void chain.run(context);
	}

	private _watchCaller(context: RequestContext, socket: Socket): void {
		const handleDisconnect = () => {
			if (!context.response.writableFinished) {
				context.abort(new RequestError(ErrorKind.CallerGone, 'the caller closed the connection'));
			}
		};

		// A pipelined response that waits for its turn does not emit `close` when the connection closes.
		const subscription = this._callerWatch.watch(socket, handleDisconnect);
		context.response.once('close', () => {
			subscription.dispose();
			handleDisconnect();
		});
	}

	/** Aborts the request if a body of unknown length exceeds the limit; counts its bytes while another reader forwards it. */
	private _limitBody(context: RequestContext): void {
		const {request} = context;
		const {bodyBytes} = this._options.limits;
		let received = 0;
		// On a paused stream, adding a `data` listener does not start the flow.
		request.pause();
		request.on('data', (chunk: Uint8Array) => {
			received += chunk.length;
			if (received > bodyBytes) {
				const kind = context.isDispatched ? ErrorKind.BodyTooLargeDispatched : ErrorKind.BodyTooLarge;
				context.abort(new RequestError(kind, `the body has more than ${bodyBytes} bytes`));
			}
		});
	}
}
