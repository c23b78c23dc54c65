import type {RouteAddress} from './route-address.js';

/** The answer to "which addresses serve this service". */
export type RouteAnswer = {
	readonly service: string;
	/** In order of preference. */
	readonly addresses: readonly RouteAddress[];
	/** Time for which the answer may be used, in ms. */
	readonly lifetimeMs: number;
	/** Identifies the inputs of the answer; equal inputs give equal versions at every instance. */
	readonly version: string;
	/** True when the answering instance works from an old instance list. */
	readonly stale: boolean;
	/** True when the answering instance itself is leaving. */
	readonly leaving: boolean;
};
