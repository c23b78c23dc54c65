/** Configuration of one service. */
export type GatewayService = {
	readonly name: string;
	/** Path of the health check on each target. */
	readonly healthPath: string;
	/** Maximum number of connections that one target accepts from all clients together. */
	readonly connectionsPerTarget: number;
	/** Requests per second that all instances together may send to one target while it warms up; undefined for no limit. */
	readonly warmUpPerSecond?: number | undefined;
	/** Time for which a target is cold after its start, in ms; undefined when unknown. */
	readonly warmUpMs?: number | undefined;
};
