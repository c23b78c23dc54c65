/** Limits the memory that the bodies of requests in progress take together. */
export class HeldBytes {
	private _held = 0;

	/**
	@param _limit - Maximum number of bytes held at a time.
	@param _countFreeBytes - Counts the bytes that a budget which others share still has.
	*/
	constructor(private readonly _limit: number, private readonly _countFreeBytes: () => number = () => Number.POSITIVE_INFINITY) {}

	get held(): number {
		return this._held;
	}

	/** Takes a number of bytes; false when they exceed the limit together with those that are held. */
	tryTake(bytes: number): boolean {
		if (this._held + bytes > this._limit || bytes > this._countFreeBytes()) {
			return false;
		}

		this._held += bytes;
		return true;
	}

	release(bytes: number): void {
		this._held -= bytes;
	}
}
