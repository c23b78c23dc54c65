/** A target as listed in the registry. */
export type GatewayTarget = {
	readonly id: string;
	/** Registry revision at which the record was last written. */
	readonly revision: number;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly failureDomain: string;
	/** Maximum number of requests that it runs concurrently. */
	readonly slots: number;
	/** True once the target is draining and accepts no new requests. */
	readonly isLeaving: boolean;
	/** Remaining warm-up time when the record was read, in ms; the target is slower until it has passed. */
	readonly warmUpLeftMs: number;
	/** Start time of this incarnation, in ms since the epoch; 0 when unknown. */
	readonly startedAt: number;
};
