/** A service of the site, as the configuration describes it. */
export type GatewayService = {
	readonly name: string;
	/** Path of the targets' health check. */
	readonly healthPath: string;
	/** Connections that one target accepts from all callers together. */
	readonly connectionsPerTarget: number;
};
