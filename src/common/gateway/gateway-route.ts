import type {ServiceShare} from './service-share.js';

/** Services, limits and retry rules for the requests with one host and path prefix. */
export type GatewayRoute = {
	readonly name: string;
	/** Host name in lower case, without a port. */
	readonly host: string;
	/** Starts and ends with a slash. */
	readonly pathPrefix: string;
	/** Traffic split between services; a single element when all requests go to one service. */
	readonly shares: readonly ServiceShare[];
	/** Whether a request may safely run more than once. */
	readonly isIdempotent: boolean;
	/** Time limit for a request, in ms. */
	readonly timeoutMs: number;
	/** Objective for the response time, in ms; a response within it is worth most. */
	readonly objectiveMs: number;
	/** Priority among the routes of a service; 0 is the highest. */
	readonly priority: number;
	/** Maximum number of targets that one request is sent to. It does not apply while every attempt is known not to have run. */
	readonly maxAttempts: number;
};
