import {
	createTRPCClient, createWSClient, wsLink, type TRPCClient,
} from '@trpc/client';
import {WebSocket} from 'ws';
import type {DisposableLike} from '../../common/disposable-like.js';
import {Emitter} from '../../common/emitter.js';
import {createReplyCheckLink} from './create-reply-check-link.js';
import {peerMessageEncoder} from './peer-message-encoder.js';
import type {PeerRouter} from './peer-router.js';

type PeerAddress = {readonly host: string; readonly port: number};

const maxReconnectMs = 200;

/** Client of the peer port of one peer; connects on first use and reconnects automatically. */
export class PeerClient implements DisposableLike {
	/** The typed procedures of the peer. */
	readonly api: TRPCClient<PeerRouter>;
	private readonly _webSocketClient: ReturnType<typeof createWSClient>;
	private readonly _onClosed = new Emitter<void>();

	constructor(address: PeerAddress, ownInstanceId: string) {
		this._webSocketClient = createWSClient({
			url: `ws://${address.host}:${address.port}`,
			// The library expects the browser's WebSocket type; the class of `ws` has all the members that it uses.
			// eslint-disable-next-line @typescript-eslint/naming-convention
			WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
			connectionParams: {instanceId: ownInstanceId},
			// eslint-disable-next-line @typescript-eslint/naming-convention
			experimental_encoder: peerMessageEncoder,
			lazy: {enabled: true, closeMs: 60_000},
			retryDelayMs: attempt => Math.min(maxReconnectMs, 50 * (2 ** attempt)),
			onError: () => undefined,
			onClose: () => {
				this._onClosed.fire();
			},
		});
		this.api = createTRPCClient<PeerRouter>({links: [createReplyCheckLink(), wsLink({client: this._webSocketClient})]});
	}

	/** Fires when the connection is closed, by either side or by a failure. */
	get onClosed() {
		return this._onClosed.event;
	}

	dispose(): void {
		this._onClosed.dispose();
		void this._webSocketClient.close();
	}
}
