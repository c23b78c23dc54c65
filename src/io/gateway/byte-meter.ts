import type {Socket} from 'node:net';

/** Counts the bytes read and written on a set of connections, headers included. */
export class ByteMeter {
	private readonly _openSockets = new Set<Socket>();
	private _closedBytes = 0;

	/** Bytes on all connections so far, open and closed. */
	get totalBytes(): number {
		let totalBytes = this._closedBytes;
		for (const {bytesRead, bytesWritten} of this._openSockets) {
			totalBytes += bytesRead + bytesWritten;
		}

		return totalBytes;
	}

	/** Adds a connection to the count. */
	add(socket: Socket): void {
		this._openSockets.add(socket);
		socket.once('close', () => {
			this._openSockets.delete(socket);
			this._closedBytes += socket.bytesRead + socket.bytesWritten;
		});
	}
}
