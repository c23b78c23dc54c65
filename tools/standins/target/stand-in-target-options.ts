import type {IncomingMessage} from 'node:http';
import type {ServiceTimeSpec} from './service-time-spec.js';
import type {TargetBehavior} from './target-behavior.js';

/** What a stand-in target is made of. */
export type StandInTargetOptions = {
	/** Name that the target writes into its answers. */
	readonly id: string;
	/** Requests that run at the same time; more wait. */
	readonly slots: number;
	/** Time that a request occupies a slot, in ms; header `x-service-ms` goes before it. */
	readonly serviceTimeMs?: (request: IncomingMessage) => number;
	/** Distribution of service times where `serviceTimeMs` is not given. */
	readonly serviceTimes?: ServiceTimeSpec;
	readonly behavior?: Partial<TargetBehavior>;
};
