import type {Socket} from 'node:net';
import type {DisposableLike} from '../common/disposable-like.js';

/** Notifies requests that their caller has disconnected, as soon as the socket ends. The `close` event of the HTTP response fires some event loop turns later. */
export class CallerWatch {
	private readonly _listeners = new WeakMap<Socket, Set<() => void>>();

	/** Calls `onDisconnect` once when the caller ends or resets the connection, unless the returned subscription has been disposed. */
	watch(socket: Socket, onDisconnect: () => void): DisposableLike {
		const listeners = this._listeners.get(socket) ?? this._watchSocket(socket);
		listeners.add(onDisconnect);
		return {
			dispose() {
				listeners.delete(onDisconnect);
			},
		};
	}

	/** Adds one pair of socket listeners for all requests on the connection. */
	private _watchSocket(socket: Socket): Set<() => void> {
		const listeners = new Set<() => void>();
		this._listeners.set(socket, listeners);
		const notifyListeners = () => {
			const callbacks = [...listeners];
			listeners.clear();
			for (const onDisconnect of callbacks) {
				onDisconnect();
			}
		};

		socket.once('end', notifyListeners);
		socket.once('close', notifyListeners);
		return listeners;
	}
}
