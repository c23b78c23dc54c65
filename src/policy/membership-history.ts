type MembershipHistoryOptions = {
	/** Time within which all instances learn of a membership change, in ms. */
	readonly convergenceMs: number;
};

/**
Tracks how long the membership has been stable, in order to decide whether this instance would know of an idempotency key
if it had been granted. That requires that the members have not changed since before the caller first sent the request,
and that no unreachable instance may have granted the key on the other side of a network partition.
*/
export class MembershipHistory {
	private readonly _members = new Map<string, number>();
	private readonly _lostAt = new Map<string, number>();
	private _listed: ReadonlySet<string> = new Set();

	/**
	@param _stableSince - Start of the process on the instance's clock, in ms; later the time of the last membership change.
	*/
	constructor(private readonly _options: MembershipHistoryOptions, private _stableSince: number) {}

	/**
	Updates the members that are considered reachable.
	@param members - Incarnations by member id.
	@param leaving - Ids of members that announced that they leave; their absence is no sign of a network partition.
	@param now - Time on the instance's clock, in ms.
	*/
	updateMembers(members: ReadonlyMap<string, number>, leaving: ReadonlySet<string>, now: number): void {
		let hasChanged = false;
		for (const [id] of this._members) {
			if (!members.has(id)) {
				hasChanged = true;
				if (!leaving.has(id)) {
					this._lostAt.set(id, now);
				}
			}
		}

		for (const [id, incarnation] of members) {
			hasChanged ||= this._members.get(id) !== incarnation;
			this._lostAt.delete(id);
		}

		if (hasChanged) {
			this._stableSince = now;
			this._members.clear();
			for (const [id, incarnation] of members) {
				this._members.set(id, incarnation);
			}
		}
	}

	/** Updates the ids in the platform's instance list; a lost member that is still listed may be alive on the other side of a network partition. */
	updateListed(ids: ReadonlySet<string>): void {
		this._listed = ids;
	}

	/** Restarts the period of stability, after a time in which changes could not be observed. */
	resetStableSince(now: number): void {
		this._stableSince = now;
	}

	/**
	Whether an idempotency key that this instance does not know was certainly never granted.
	@param firstSentAgoMs - Time since the caller first sent the request, in ms.
	@param memoryMs - Retention period of the key, in ms.
	@param now - Time on the instance's clock, in ms.
	*/
	canRuleOutGrant(firstSentAgoMs: number, memoryMs: number, now: number): boolean {
		const {convergenceMs} = this._options;
		const hasMissingMember = [...this._lostAt].some(([id, lostAt]) => this._listed.has(id) || now - lostAt <= memoryMs);
		return !hasMissingMember && firstSentAgoMs + convergenceMs < memoryMs && now - this._stableSince > firstSentAgoMs + convergenceMs;
	}
}
