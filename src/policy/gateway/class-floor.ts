/** Slots to which a class is entitled, per request of it that arrives; a class must not be served less than a quarter as often as all requests together. */
const slotsPerArrival = 0.25;
/** Limits of a class's credit, in slots, so that neither a long wait nor a long time of ample capacity has an effect for long. */
const maxCredit = 1;
const minCredit = -4;

/** Counts the requests of each priority that arrive and those that get a slot, so that no class starves. */
export class ClassFloor {
	constructor(private readonly _credits = new Map<number, number>()) {}

	/** Creates a copy whose changes do not reach this one, for a dry run. */
	createCopy(): ClassFloor {
		return new ClassFloor(new Map(this._credits));
	}

	/** Whether a class has got less than its minimum share of slots. */
	isStarved(priority: number): boolean {
		return (this._credits.get(priority) ?? 0) >= maxCredit;
	}

	noteArrival(priority: number): void {
		this._add(priority, slotsPerArrival);
	}

	noteGrant(priority: number): void {
		this._add(priority, -1);
	}

	private _add(priority: number, slots: number): void {
		this._credits.set(priority, Math.max(minCredit, Math.min(maxCredit, (this._credits.get(priority) ?? 0) + slots)));
	}
}
