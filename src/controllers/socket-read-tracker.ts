import type {Clock} from '../common/clock.js';

/** Tracks up to which time all received data has been read from the sockets: an event loop iteration reads each socket once, at its start. */
export class SocketReadTracker {
	private _readUntil = Number.NEGATIVE_INFINITY;
	private _nextRead: Promise<void> | undefined;

	constructor(private readonly _clock: Clock) {}

	/** Time on the clock up to which all data that had arrived is known to have been read, in ms. */
	get readUntil(): number {
		return this._readUntil;
	}

	/** Records that a request was read in this event loop iteration and returns the time; data behind it in the socket is read in the next one. */
	recordRead(): number {
		void this.waitUntilRead();
		return this._clock.now();
	}

	/** Resolves once the event loop has read all sockets again; without load this takes less than 0.1 ms. */
	async waitUntilRead(): Promise<void> {
		this._nextRead ??= new Promise(resolve => {
			setImmediate(() => {
				// The reads of the next iteration begin after this point; later callers wait for those of the iteration after it.
				const readStartedAt = this._clock.now();
				this._nextRead = undefined;
				setImmediate(() => {
					this._readUntil = readStartedAt;
					resolve();
				});
			});
		});
		return this._nextRead;
	}
}
