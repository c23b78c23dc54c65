const secondMs = 1000;

/** Paces messages to a byte rate: after a message, the next one waits for as long as its bytes take at that rate. */
export class ByteRateLimiter {
	private _availableAt = 0;

	/** @param _bytesPerSecond - Average rate; a single message may exceed it. */
	constructor(private readonly _bytesPerSecond: number) {}

	/** Earliest time for the next message, in ms. */
	get availableAt(): number {
		return this._availableAt;
	}

	/** Counts a sent message towards the rate. */
	recordMessage(bytes: number, now: number): void {
		this._availableAt = Math.max(this._availableAt, now) + ((bytes * secondMs) / this._bytesPerSecond);
	}
}
