import {
	createTRPCClient, createWSClient, wsLink, type TRPCClient,
} from '@trpc/client';
import {WebSocket} from 'ws';
import type {DisposableLike} from '../../common/disposable-like.js';
import type {PeerRouter} from './peer-router.js';

type PeerAddress = {readonly host: string; readonly port: number};

const maxReconnectMs = 1000;

/** A client of one peer's port; it connects on first use and reconnects by itself. */
export class PeerClient implements DisposableLike {
	/** The typed procedures of the peer. */
	readonly api: TRPCClient<PeerRouter>;
	private readonly _socket: ReturnType<typeof createWSClient>;

	constructor(address: PeerAddress, callerId: string) {
		this._socket = createWSClient({
			url: `ws://${address.host}:${address.port}`,
			// The library asks for the browser's type; the one of `ws` has the members that it uses.
			// eslint-disable-next-line @typescript-eslint/naming-convention
			WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
			connectionParams: {instanceId: callerId},
			lazy: {enabled: true, closeMs: 60_000},
			retryDelayMs: attempt => Math.min(maxReconnectMs, 50 * (2 ** attempt)),
			onError: () => undefined,
		});
		this.api = createTRPCClient<PeerRouter>({links: [wsLink({client: this._socket})]});
	}

	dispose(): void {
		void this._socket.close();
	}
}
