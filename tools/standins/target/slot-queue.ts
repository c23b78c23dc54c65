type Waiter = {readonly start: () => void};

/** A fixed number of slots with a bounded first-in-first-out queue. */
export class SlotQueue {
	private readonly _waiting: Waiter[] = [];
	private _inFlight = 0;

	/** @param slots - Maximum number of requests that run at the same time. */
	constructor(readonly slots: number) {}

	/** Number of requests that hold a slot. */
	get inFlight(): number {
		return this._inFlight;
	}

	/** Number of requests that wait for a slot. */
	get queued(): number {
		return this._waiting.length;
	}

	/**
	Takes a slot and calls `start`, immediately or once a slot is free.
	@param queueLimit - Maximum number of waiting requests.
	@returns A function that leaves the queue or frees the slot, once; undefined when the queue is full.
	*/
	acquire(start: () => void, queueLimit: number): (() => void) | undefined {
		if (this._inFlight < this.slots) {
			this._inFlight++;
			start();
			return this._createRelease(undefined);
		}

		if (this._waiting.length >= queueLimit) {
			return undefined;
		}

		const waiter = {start};
		this._waiting.push(waiter);
		return this._createRelease(waiter);
	}

	private _createRelease(waiter: Waiter | undefined): () => void {
		let isReleased = false;
		return () => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			const index = waiter === undefined ? -1 : this._waiting.indexOf(waiter);
			if (index === -1) {
				this._freeSlot();
			} else {
				this._waiting.splice(index, 1);
			}
		};
	}

	private _freeSlot(): void {
		const next = this._waiting.shift();
		if (next === undefined) {
			this._inFlight--;
		} else {
			next.start();
		}
	}
}
