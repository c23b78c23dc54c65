import type {Clock} from '../common/clock.js';

/** Tells up to which moment the process has read what its sockets hold: a turn of the event loop reads each once, at its start. */
export class TurnWatch {
	private _readUntil = Number.NEGATIVE_INFINITY;
	private _nextRead: Promise<void> | undefined;

	constructor(private readonly _clock: Clock) {}

	/** Time up to which all that had arrived is known to have been read, on the clock, in ms. */
	get readUntil(): number {
		return this._readUntil;
	}

	/** Notes that a request was read in this turn, and returns the time; what stands behind it in its socket is read in the next turn. */
	noteRead(): number {
		void this.waitUntilRead();
		return this._clock.now();
	}

	/** Resolves once the event loop has read its sockets anew; in calm this takes less than a tenth of a ms. */
	async waitUntilRead(): Promise<void> {
		this._nextRead ??= new Promise(resolve => {
			setImmediate(() => {
				// The reads of the coming turn begin after this; whoever comes later waits for those of the turn after it.
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
