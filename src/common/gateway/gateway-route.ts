import type {ServiceShare} from './service-share.js';

/** Where requests of one host and path prefix go, and how they are treated. */
export type GatewayRoute = {
	readonly name: string;
	/** Host name in lower case, without a port. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	/** One entry without a split. */
	readonly shares: readonly ServiceShare[];
	/** Whether a request may run more than once. */
	readonly isIdempotent: boolean;
	/** Longest time that a request is kept waiting, in ms. */
	readonly timeoutMs: number;
	/** Time within which an answer is worth most, in ms. */
	readonly objectiveMs: number;
	/** Rank among the routes of a service; 0 is the most urgent. */
	readonly priority: number;
	/** Targets that one request may be sent to. */
	readonly maxAttempts: number;
};
