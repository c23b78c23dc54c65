import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import type {DisposableLike} from '../../common/disposable-like.js';
import {HttpListener} from '../http-listener.js';
import {createPeerRouter} from './create-peer-router.js';
import type {PeerHandlers} from './peer-handlers.js';

const maxMessageBytes = 4_194_304;

/** Serves the procedures of the peer port over WebSocket. */
export class PeerServer implements DisposableLike {
	readonly listener = new HttpListener({}, (_request, response) => {
		response.writeHead(426).end();
	});

	private readonly _webSocketServer: WebSocketServer;
	private readonly _rpcHandler: ReturnType<typeof applyWSSHandler>;

	constructor(handlers: PeerHandlers) {
		this._webSocketServer = new WebSocketServer({server: this.listener.server, maxPayload: maxMessageBytes, perMessageDeflate: false});
		// `HttpListener` reports a failure to listen; without a listener here, the same error would end the process.
		this._webSocketServer.on('error', () => undefined);
		this._rpcHandler = applyWSSHandler({
			wss: this._webSocketServer,
			router: createPeerRouter(handlers),
			createContext: ({info}) => ({peerId: String(info.connectionParams?.instanceId ?? '')}),
		});
	}

	dispose(): void {
		this._rpcHandler.broadcastReconnectNotification();
		this._webSocketServer.close();
		for (const client of this._webSocketServer.clients) {
			client.terminate();
		}

		this.listener.dispose();
	}
}
