/** A target as the site's registry lists it. */
export type GatewayTarget = {
	readonly id: string;
	/** Revision of the registry at which the record was written. */
	readonly revision: number;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly failureDomain: string;
	/** Requests that it runs at the same time. */
	readonly slots: number;
	/** True once it takes no new requests. */
	readonly isLeaving: boolean;
	/** Time for which it stays slow after its start, in ms, when it was listed. */
	readonly warmUpLeftMs: number;
	/** Start of this incarnation, in ms since the epoch; 0 when not told. */
	readonly startedAt: number;
};
