import type {Demand} from './demand.js';
import type {RequestKind} from './request-kind.js';

/** A load on one service, as a load worker carries it out. */
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
	/** Failure domains of the callers, in turn. */
	readonly domains: readonly string[];
	/** Route listeners that callers ask, as base URLs. */
	readonly routeUrls: readonly string[];
	/** Addresses to use without asking; routes are asked when empty. */
	readonly directUrls: readonly string[];
	/** Delay between callers and entries, one way, in ms. */
	readonly oneWayDelayMs: number;
	/** Keeps the processor busy between requests so that each is sent within microseconds of its time. */
	readonly isSpinning: boolean;
	/** Requests kept in flight, each followed by the next at once, to find out what can be carried; 0 follows the demand. */
	readonly concurrency: number;
};
