import {
	maxHeaderSize, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import type {DisposableLike} from '../common/disposable-like.js';
import type {BufferedResponse} from '../common/gateway/buffered-response.js';
import type {GatewayLimits} from '../common/gateway/gateway-limits.js';
import type {Logger} from '../common/logger.js';
import type {CallerConnections} from '../controllers/caller-connections.js';
import type {ClientConnections} from '../controllers/gateway/client-connections.js';
import type {IntakeController} from '../controllers/gateway/intake-controller.js';
import type {PauseWatch} from '../controllers/pause-watch.js';
import type {SocketReadTracker} from '../controllers/socket-read-tracker.js';
import type {FilterChain} from '../filters/filter-chain.js';
import {GatewayContext} from '../filters/gateway/gateway-context.js';
import {HttpListener} from '../io/http-listener.js';

type CallerListenerOptions = {
	readonly chain: Pick<FilterChain<GatewayContext, BufferedResponse>, 'run'>;
	readonly connections: CallerConnections;
	readonly clients: Pick<ClientConnections, 'admit'>;
	readonly intake: Pick<IntakeController, 'noteConnection'>;
	readonly pauseWatch: Pick<PauseWatch, 'estimateArrival'>;
	readonly readTracker: Pick<SocketReadTracker, 'recordRead'>;
	/** Name of the header with the id that the caller gave this attempt of its request, in lower case. */
	readonly requestIdHeader: string;
	readonly logger: Pick<Logger, 'logError'>;
};

/** Interval at which connections are checked for headers that arrive too slowly, in ms. */
const connectionCheckMs = 1000;

/** Listens for the requests of a gateway's callers and passes them to the filter chain. */
export class CallerListener implements DisposableLike {
	readonly listener: HttpListener;

	constructor(private readonly _options: CallerListenerOptions) {
		const {connections, intake} = _options;
		this.listener = new HttpListener({noDelay: true, requireHostHeader: false, connectionsCheckingInterval: connectionCheckMs}, (request, response) => {
			this._handleRequest(request, response);
		}, _options.logger);
		const {server} = this.listener;
		// Headers are limited by size and by the memory of all clients; with a limit on their number, Node.js would silently drop the excess ones.
		server.maxHeadersCount = 0;
		server.on('connection', () => {
			intake.noteConnection();
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
			void connections.handleClientError(error, socket);
		});
	}

	/** Applies the limits for the headers and idle connections of callers. */
	setLimits({headerBytes, idleTimeoutMs, headersTimeoutMs}: GatewayLimits): void {
		const server = this.listener.server as Server & {maxHeaderSize?: number};
		if (headerBytes !== (server.maxHeaderSize ?? maxHeaderSize)) {
			// Node.js reads this property for each new connection; its types know the option only.
			server.maxHeaderSize = headerBytes;
			this._options.connections.setHeaderLimit(headerBytes);
			server.closeIdleConnections();
		}

		server.keepAliveTimeout = idleTimeoutMs;
		server.headersTimeout = headersTimeoutMs;
	}

	/** Stops accepting connections and closes those without a request in progress. */
	closeIdle(): void {
		const {server} = this.listener;
		server.close();
		server.closeIdleConnections();
	}

	dispose(): void {
		this.listener.dispose();
	}

	private _handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const {chain, connections, clients, pauseWatch, readTracker, requestIdHeader} = this._options;
		if (!clients.admit(request, response)) {
			// Its response may close the connection, so requests behind it must not be dispatched.
			connections.add({
				request, response, isDispatched: false, abort: () => undefined,
			});
			return;
		}

		const id = request.headers[requestIdHeader];
		const arrival = {receivedAt: pauseWatch.estimateArrival(), readAt: readTracker.recordRead()};
		const context = new GatewayContext(request, response, arrival, typeof id === 'string' ? id : undefined);
		if (connections.add(context)) {
			void chain.run(context);
		}
	}
}
