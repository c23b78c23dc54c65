import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {DisposableLike} from '../common/disposable-like.js';
import type {EntrySettings} from '../common/entry-settings.js';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {PauseWatch} from '../controllers/pause-watch.js';
import type {SocketReadTracker} from '../controllers/socket-read-tracker.js';
import {writeProblem} from '../filters/write-problem.js';
import type {FilterChain} from '../filters/filter-chain.js';
import {RequestContext} from '../filters/request-context.js';
import {CallerWatch} from '../io/caller-watch.js';
import {HttpListener} from '../io/http-listener.js';
import {writeSocketProblem} from '../io/write-socket-problem.js';
import {checkRequestHead} from '../policy/check-request-head.js';

type DataListenerOptions = {
	readonly limits: EntrySettings['limits'];
	readonly chain: Pick<FilterChain, 'run'>;
	readonly pauseWatch: Pick<PauseWatch, 'estimateArrival'>;
	readonly readTracker: Pick<SocketReadTracker, 'recordRead'>;
};

/** Maximum number of pipelined requests in progress on one connection; HTTP/1.1 sends their responses in order. */
const maxPipelinedRequests = 32;
const keepAliveTimeoutMs = 60_000;
const maxCheckIntervalMs = 1000;

/** Listens for callers' requests: refuses malformed, oversized and slow ones and passes the others to the filter chain. */
export class DataListener implements DisposableLike {
	readonly listener: HttpListener;
	private readonly _callerWatch = new CallerWatch();
	private readonly _openContexts = new WeakMap<Duplex, Set<RequestContext>>();

	constructor(private readonly _options: DataListenerOptions) {
		const {limits} = _options;
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
		});
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
			writeSocketProblem(socket, new RequestError(ErrorKind.MethodNotAllowed, 'method CONNECT is not passed on'));
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
			this._handleClientError(error, socket);
		});
	}

	dispose(): void {
		this.listener.dispose();
	}

	private _handleRequest(request: IncomingMessage, response: ServerResponse, isContinueExpected: boolean): void {
		const {limits, chain, pauseWatch, readTracker} = this._options;
		const context = new RequestContext(request, response, {receivedAt: pauseWatch.estimateArrival(), readAt: readTracker.recordRead()});
		const openContexts = this._trackContext(context, request.socket);
		const checked = checkRequestHead({method: request.method ?? '', target: request.url ?? '', rawHeaders: request.rawHeaders}, limits.bodyBytes);
		if (checked.isErr()) {
			writeProblem(context, checked.error);
			return;
		}

		if (openContexts.size > maxPipelinedRequests) {
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

	private _trackContext(context: RequestContext, socket: Socket): Set<RequestContext> {
		const openContexts = this._openContexts.get(socket) ?? new Set<RequestContext>();
		this._openContexts.set(socket, openContexts);
		openContexts.add(context);
		const handleDisconnect = () => {
			if (!context.response.writableFinished) {
				context.abort(new RequestError(ErrorKind.CallerGone, 'the caller closed the connection'));
			}
		};

		// A pipelined response that waits for its turn does not emit `close` when the connection closes.
		const subscription = this._callerWatch.watch(socket, handleDisconnect);
		context.response.once('close', () => {
			openContexts.delete(context);
			subscription.dispose();
			handleDisconnect();
		});
		return openContexts;
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

	private _handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
		const openContexts = [...(this._openContexts.get(socket) ?? [])];
		if (openContexts.length === 0) {
			writeSocketProblem(socket, this._convertClientError(error, false));
			return;
		}

		for (const context of openContexts) {
			if (context.request.complete) {
				continue;
			}

			context.abort(this._convertClientError(error, context.isDispatched));
		}

		// The parser cannot continue; pending responses are sent before the connection closes.
		const lastContext = openContexts.at(-1);
		if (lastContext?.request.complete === true) {
			lastContext.response.once('close', () => {
				socket.destroy();
			});
			lastContext.response.shouldKeepAlive = false;
		}
	}

	private _convertClientError(error: NodeJS.ErrnoException, isDispatched: boolean): RequestError {
		if (error.code === 'HPE_HEADER_OVERFLOW') {
			return new RequestError(ErrorKind.HeadersTooLarge, `the headers have more than ${this._options.limits.headerBytes} bytes`);
		}

		if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
			const kind = isDispatched ? ErrorKind.RequestTooSlowDispatched : ErrorKind.RequestTooSlow;
			return new RequestError(kind, 'the request did not arrive in time');
		}

		return new RequestError(isDispatched ? ErrorKind.BodyInterrupted : ErrorKind.MalformedRequest, error.message);
	}
}
