import type {Demand} from './demand.js';
import type {RequestKind} from './request-kind.js';

/** A load on one service, run by one worker. */
export type LoadPlan = {
	/** Prefix of the request ids. */
	readonly name: string;
	readonly service: string;
	/** Loads with equal seed, demand, kinds and callers have equal arrivals. */
	readonly seed: number;
	readonly demand: Demand;
	readonly durationMs: number;
	readonly kinds: readonly RequestKind[];
	readonly callers: number;
	/** Failure domains, assigned to the callers round robin. */
	readonly domains: readonly string[];
	/** Base URLs of the route listeners that callers fetch their routes from. */
	readonly routeUrls: readonly string[];
	/** Base URLs to send requests to without fetching a route; when empty, routes are fetched. */
	readonly directUrls: readonly string[];
	/** Simulated one-way network delay between callers and instances, in ms. */
	readonly oneWayDelayMs: number;
	/** Whether the worker busy-waits between requests, so that each is sent within microseconds of its scheduled time. */
	readonly isSpinning: boolean;
	/** Number of requests kept in flight (closed loop), to measure capacity; 0 sends requests at their arrival times (open loop). */
	readonly concurrency: number;
};
