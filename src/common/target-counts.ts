/** In-flight counts of one target that an entry shares with the other entries of a service. */
export type TargetCounts = {
	readonly service: string;
	readonly targetId: string;
	/** Requests of the sending entry in flight at the target. */
	readonly inFlight: number;
	readonly longInFlight: number;
	/** Recent duration of short requests, in ms; 0 when unknown. */
	readonly shortMs: number;
	readonly isDraining: boolean;
};
