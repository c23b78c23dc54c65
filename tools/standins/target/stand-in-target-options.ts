import type {IncomingMessage} from 'node:http';
import type {ServiceTimeSpec} from './service-time-spec.js';
import type {TargetBehavior} from './target-behavior.js';

/** Options of a stand-in target. */
export type StandInTargetOptions = {
	/** Id, which the target writes into its response bodies. */
	readonly id: string;
	/** Maximum number of requests that run at the same time; further ones wait. */
	readonly slots: number;
	/** Computes the service time of a request, in ms; the request header `x-service-ms` overrides it. */
	readonly serviceTimeMs?: (request: IncomingMessage) => number;
	/** Distribution of service times where `serviceTimeMs` is not given. */
	readonly serviceTimes?: ServiceTimeSpec;
	/** Deviations from the default behavior. */
	readonly behavior?: Partial<TargetBehavior>;
};
