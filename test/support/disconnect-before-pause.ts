import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {DisconnectKind} from './disconnect-kind.js';

type DisconnectOptions = {
	/** Port of the daemon's data listener. */
	readonly port: number;
	/** Raw requests; each is sent over its own connection. */
	readonly requests: readonly string[];
	/** How each caller disconnects. */
	readonly leaving: DisconnectKind;
	/** Time between sending and disconnecting, in ms; with 0, the daemon reads neither before the pause. */
	readonly disconnectDelayMs?: number;
	/** Time for which the event loop of this process is blocked after the callers have disconnected, in ms. */
	readonly pauseMs: number;
};

const disconnect = (socket: Socket, leaving: DisconnectKind): void => {
	switch (leaving) {
		case DisconnectKind.End: {
			socket.end();
			return;
		}

		case DisconnectKind.Close: {
			socket.destroy();
			return;
		}

		case DisconnectKind.Reset: {
			socket.resetAndDestroy();
		}
	}
};

/** Sends requests to a daemon in this process, disconnects, and then blocks the event loop, so that the daemon reads nothing meanwhile. */
export const disconnectBeforePause = async ({port, requests, leaving, disconnectDelayMs = 0, pauseMs}: DisconnectOptions): Promise<void> => {
	const sockets = await Promise.all(requests.map(async () => {
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		return socket;
	}));
	for (const [index, socket] of sockets.entries()) {
		socket.write(requests[index] ?? '');
	}

	if (disconnectDelayMs > 0) {
		await sleep(disconnectDelayMs);
	}

	for (const socket of sockets) {
		disconnect(socket, leaving);
	}

	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
};
