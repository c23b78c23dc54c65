/** What an entry tells the others of a service about one target. */
export type TargetShare = {
	readonly service: string;
	readonly targetId: string;
	/** Requests of the sender in flight. */
	readonly inFlight: number;
	readonly longInFlight: number;
	/** Recent time of short requests, in ms; 0 when there is no recent one. */
	readonly shortMs: number;
	readonly isDraining: boolean;
};
