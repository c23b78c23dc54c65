/** Configuration of one service. */
export type GatewayService = {
	readonly name: string;
	/** Path of the health check on each target. */
	readonly healthPath: string;
	/** Maximum number of connections that one target accepts from all clients together. */
	readonly connectionsPerTarget: number;
};
