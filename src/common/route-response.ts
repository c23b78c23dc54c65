import type {RouteAddress} from './route-address.js';

/** Response to a route request: the addresses that serve a service. */
export type RouteResponse = {
	readonly service: string;
	/** In order of preference. */
	readonly addresses: readonly RouteAddress[];
	/** Time to live of the response, in ms. */
	readonly lifetimeMs: number;
	/** Identifies the inputs of the response; equal inputs result in equal versions at every instance. */
	readonly version: string;
	/** True when the responding instance uses a stale instance list. */
	readonly stale: boolean;
	/** True when the responding instance itself is leaving the fleet. */
	readonly leaving: boolean;
};
