type WaitingRequest = {
	/** Time at which the response is due by the objective of the route, in ms. */
	readonly objectiveAt: number;
	/** 0 is the highest priority. */
	readonly priority: number;
};

/** One in this many requests taken is a late one if any waits, so that late ones do not starve. */
const lateTakeInterval = 6;

const compareWaiting = (a: WaitingRequest, b: WaitingRequest): number => a.priority - b.priority || a.objectiveAt - b.objectiveAt;

/**
Queue of the requests that wait for a slot, by priority. Within a priority the earliest objective goes first. Requests that can still meet their
objective go before late ones, apart from a small fraction of slots; serving late ones in order would make every request late.
*/
export class RequestQueue<T extends WaitingRequest> {
	private readonly _items: T[] = [];
	private _takenCount = 0;

	get length(): number {
		return this._items.length;
	}

	add(item: T): void {
		const index = this._items.findIndex(other => compareWaiting(other, item) > 0);
		this._items.splice(index === -1 ? this._items.length : index, 0, item);
	}

	remove(item: T): void {
		const index = this._items.indexOf(item);
		if (index !== -1) {
			this._items.splice(index, 1);
		}
	}

	/** Removes and returns the requests for which a condition holds. */
	takeMatching(matches: (item: T) => boolean): T[] {
		const matching = this._items.filter(item => matches(item));
		for (const item of matching) {
			this.remove(item);
		}

		return matching;
	}

	/** The requests in the order of the queue, late ones not set apart. */
	get items(): readonly T[] {
		return this._items;
	}

	/** @param earliestEnd - Earliest time at which a request started now would end, in ms; requests with an objective before it are late. */
	take(earliestEnd: number): T | undefined {
		this._takenCount++;
		const timely = this._items.find(item => item.objectiveAt >= earliestEnd);
		const late = this._items.find(item => item.objectiveAt < earliestEnd);
		const next = this._takenCount % lateTakeInterval === 0 ? late ?? timely : timely ?? late;
		if (next !== undefined) {
			this.remove(next);
		}

		return next;
	}

	/**
	Takes the next request of a service whose routes have different priorities: late ones only when no timely one waits.
	@param starvedPriority - Priority that goes first since it has got too few slots; undefined when there is none.
	*/
	takeByPriority(earliestEnd: number, starvedPriority: number | undefined): T | undefined {
		const starved = this._items.filter(item => item.priority === starvedPriority);
		const candidates = starved.length > 0 ? starved : this._items;
		const next = candidates.find(item => item.objectiveAt >= earliestEnd) ?? candidates[0];
		if (next !== undefined) {
			this.remove(next);
		}

		return next;
	}

	/**
	Counts the requests that can still meet their objective.
	@param earliestEnd - Earliest time at which a request started now would end, in ms.
	@param priority - Lowest priority that is counted.
	*/
	countTimely(earliestEnd: number, priority: number): number {
		return this._items.filter(item => item.priority <= priority && item.objectiveAt >= earliestEnd).length;
	}
}
