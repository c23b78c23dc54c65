/** Counts calls and bytes by wall-clock second. */
export class SecondCounter {
	private readonly _counts = new Map<number, number>();

	/** Counts by second, as pairs of the second and the count. */
	get seconds(): ReadonlyArray<readonly [number, number]> {
		return [...this._counts];
	}

	/** Sum over all seconds. */
	get total(): number {
		return [...this._counts.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Largest count in one second. */
	get peak(): number {
		return Math.max(0, ...this._counts.values());
	}

	/** Adds to the second of a time in ms. */
	add(now: number, count = 1): void {
		const second = Math.floor(now / 1000);
		this._counts.set(second, (this._counts.get(second) ?? 0) + count);
	}

	/** Gets the count of the second of a time in ms. */
	getCount(now: number): number {
		return this._counts.get(Math.floor(now / 1000)) ?? 0;
	}

	/** Forgets all counts. */
	clear(): void {
		this._counts.clear();
	}
}
