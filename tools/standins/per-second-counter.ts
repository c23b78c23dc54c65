/** Counts events, such as calls or bytes, per wall-clock second. */
export class PerSecondCounter {
	private readonly _counts = new Map<number, number>();

	/** Pairs of second (since the epoch) and count. */
	get seconds(): ReadonlyArray<readonly [number, number]> {
		return [...this._counts];
	}

	/** Total count over all seconds. */
	get total(): number {
		return [...this._counts.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Largest count in one second. */
	get peak(): number {
		return Math.max(0, ...this._counts.values());
	}

	/** Adds to the count of the second that contains a time in ms. */
	add(now: number, count = 1): void {
		const second = Math.floor(now / 1000);
		this._counts.set(second, (this._counts.get(second) ?? 0) + count);
	}

	/** Gets the count of the second that contains a time in ms. */
	getCount(now: number): number {
		return this._counts.get(Math.floor(now / 1000)) ?? 0;
	}

	/** Resets all counts. */
	clear(): void {
		this._counts.clear();
	}
}
