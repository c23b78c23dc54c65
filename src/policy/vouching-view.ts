type VouchingViewOptions = {
	/** Time within which all instances learn of a change of membership, in ms. */
	readonly convergenceMs: number;
};

/**
Decides whether an instance would know of a key if it had been granted: it must have been an owner since before the first
try, and no instance that it cannot see may have granted it elsewhere.
*/
export class VouchingView {
	private readonly _members = new Map<string, number>();
	private readonly _lostAt = new Map<string, number>();
	private _listed: ReadonlySet<string> = new Set();

	/**
	@param _options - Times.
	@param _changedAt - Start of the process on the instance's clock, in ms.
	*/
	constructor(private readonly _options: VouchingViewOptions, private _changedAt: number) {}

	/**
	Takes the members that are believed to be reachable.
	@param members - Name and incarnation.
	@param leaving - Names of members that said that they leave; their absence is no sign of a split.
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
			this._changedAt = now;
			this._members.clear();
			for (const [id, incarnation] of members) {
				this._members.set(id, incarnation);
			}
		}
	}

	/** Takes the names of the platform's instance list; a lost member that it still names may be alive elsewhere. */
	updateListed(ids: ReadonlySet<string>): void {
		this._listed = ids;
	}

	/** Forgets how long the view has held, after a time in which changes could not be seen. */
	distrust(now: number): void {
		this._changedAt = now;
	}

	/**
	Whether a key that is not remembered was certainly never granted.
	@param firstSentAgoMs - Time since the caller first sent the request, in ms.
	@param memoryMs - Time for which the key would be remembered, in ms.
	@param now - Time on the instance's clock, in ms.
	*/
	canVouch(firstSentAgoMs: number, memoryMs: number, now: number): boolean {
		const {convergenceMs} = this._options;
		const isMissing = [...this._lostAt].some(([id, lostAt]) => this._listed.has(id) || now - lostAt <= memoryMs);
		return !isMissing && firstSentAgoMs + convergenceMs < memoryMs && now - this._changedAt > firstSentAgoMs + convergenceMs;
	}
}
