import type {ClientLimits} from './client-limits.js';

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
		/** Serves metrics for scraping. */
		readonly metrics: string;
	};
	/** All failure domains of the site, reachable or not; fleet-wide limits are divided among them. */
	readonly failureDomains: readonly string[];
	/** Peer addresses for discovering the fleet, as host:port; some may be stale. */
	readonly seeds: readonly string[];
	/** True on the first start of the whole site: instances then wait for each other before they read the registry. */
	readonly isFirstStart: boolean;
	/** Address of the site's registry, as host:port. */
	readonly registry: string;
	readonly limits: {
		/** Processor time that this instance may use, in cores. */
		readonly cores: number;
		/** Memory that this instance may use, in bytes. */
		readonly memoryBytes: number;
		/** Descriptors that this instance may have open; a usual number when undefined. */
		readonly descriptors?: number | undefined;
		/** Limits of what clients may take together; computed from memory and descriptors where undefined. */
		readonly clients?: Partial<ClientLimits> | undefined;
		/** Time within which a change of the targets must take effect, in ms. */
		readonly targetChangeMs: number;
		/** Time within which a change of the configuration must take effect, in ms. */
		readonly configurationChangeMs: number;
		/** Time within which an evacuation of a failure domain must take effect, in ms; evacuations are followed only where it is set. */
		readonly evacuationMs?: number | undefined;
		/** Time from the shutdown signal to the exit of the process, in ms. */
		readonly stopMs: number;
		/** Retries allowed per first attempt, as a ratio, for the whole fleet. */
		readonly retryRatio: number;
		/** Further retries allowed within one window, regardless of the number of first attempts, for the whole fleet. */
		readonly retrySlack: number;
		/** Length of the sliding window of the retry budget, in ms. */
		readonly retryWindowMs: number;
		/** Hedges allowed per request of a service on this instance, as a ratio; 0: none. When absent, the retry budget alone limits hedges. */
		readonly hedgeRatio?: number | undefined;
		/** Health checks per second that the whole fleet may send to one target. */
		readonly probesPerTargetPerSecond: number;
		/** Factor on the rate of a cold target up to which it may be exceeded within one second; undefined when the site has no such limit. */
		readonly warmUpOvershoot?: number | undefined;
		/** Requests within one second that may reach a cold target beyond that; undefined when the site has no such limit. */
		readonly warmUpSlack?: number | undefined;
	};
};
