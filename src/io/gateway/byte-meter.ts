import type {Socket} from 'node:net';

/** Counts the bytes that a set of connections has carried, with all headers. */
export class ByteMeter {
	private readonly _open = new Set<Socket>();
	private _closedBytes = 0;

	/** Bytes read and written on all connections so far. */
	get totalBytes(): number {
		let sum = this._closedBytes;
		for (const {bytesRead, bytesWritten} of this._open) {
			sum += bytesRead + bytesWritten;
		}

		return sum;
	}

	/** Counts a connection until it closes. */
	add(socket: Socket): void {
		this._open.add(socket);
		socket.once('close', () => {
			this._open.delete(socket);
			this._closedBytes += socket.bytesRead + socket.bytesWritten;
		});
	}
}
