/**
The times until which targets accept no requests from this instance. A pause outlasts the removal of its target from the list, since the
target may only be missing for a while.
*/
export class TargetPauses {
	private readonly _ends = new Map<string, number>();

	/** Number of pauses that are held. */
	get size(): number {
		return this._ends.size;
	}

	/**
	Adds a pause; a longer one that is held already stays.
	@param key - Target and incarnation.
	*/
	add(key: string, durationMs: number, now: number): void {
		this._ends.set(key, Math.max(this._ends.get(key) ?? 0, now + durationMs));
	}

	/** Gets the time left of a target's pause, in ms; 0 when there is none. */
	getRemainingMs(key: string, now: number): number {
		return Math.max(0, (this._ends.get(key) ?? now) - now);
	}

	evictEnded(now: number): void {
		for (const [key, end] of this._ends) {
			if (end <= now) {
				this._ends.delete(key);
			}
		}
	}
}
