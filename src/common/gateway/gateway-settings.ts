/** Settings of one gateway process. */
export type GatewaySettings = {
	readonly instance: {
		readonly id: string;
		readonly failureDomain: string;
		readonly region: string;
	};
	/** Addresses to listen on, as host:port. */
	readonly listeners: {
		readonly data: string;
		readonly readiness: string;
		readonly peer: string;
		readonly route: string;
		/** Serves metrics to whoever scrapes them. */
		readonly metrics: string;
	};
	/** All failure domains of the site, reachable or not; bounds of the fleet are divided among them. */
	readonly failureDomains: readonly string[];
	/** Peer addresses of instances to find the fleet by, as host:port; some may be stale. */
	readonly seeds: readonly string[];
	/** True when the whole site starts for the first time: instances then wait for each other before they read the registry. */
	readonly isFirstStart: boolean;
	/** Address of the site's registry, as host:port. */
	readonly registry: string;
	readonly limits: {
		/** Processor time that this instance may use, in cores. */
		readonly cores: number;
		/** Memory that this instance may use, in bytes. */
		readonly memoryBytes: number;
		/** Time in which a change of the targets has to be in force, in ms. */
		readonly targetChangeMs: number;
		/** Time in which a change of the configuration has to be in force, in ms. */
		readonly configurationChangeMs: number;
		/** Time from the signal of a planned stop to the end of the process, in ms. */
		readonly stopMs: number;
		/** Repeated requests allowed as a share of first ones, for the whole fleet. */
		readonly retryRatio: number;
		/** Repeated requests allowed besides, for the whole fleet, in one window. */
		readonly retrySlack: number;
		/** Length of the sliding window of the retry budget, in ms. */
		readonly retryWindowMs: number;
		/** Health checks that all instances together may send to one target, a second. */
		readonly probesPerTargetPerSecond: number;
	};
};
