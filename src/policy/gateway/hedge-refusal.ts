/** Reason for which a hedge is not sent. */
export enum HedgeRefusal {
	/** The share of requests that operators allow for hedges is used up. */
	Limit = 'refused-limit',
	/** The fleet's retry budget is used up. */
	Budget = 'refused-budget',
	/** Requests of the service wait for a slot, too few slots are free, or no other target is idle. */
	Capacity = 'refused-capacity',
}
