const secondMs = 1000;

/** Paces messages so that their bytes stay within a rate; a message may be sent once the one before is paid for. */
export class ByteBudget {
	private _paidAt = 0;

	/** @param _bytesPerSecond - Rate that is kept over any longer time. */
	constructor(private readonly _bytesPerSecond: number) {}

	/** Earliest time for the next message, in ms. */
	get availableAt(): number {
		return this._paidAt;
	}

	/** Counts a message that was sent. */
	recordMessage(bytes: number, now: number): void {
		this._paidAt = Math.max(this._paidAt, now) + ((bytes * secondMs) / this._bytesPerSecond);
	}
}
