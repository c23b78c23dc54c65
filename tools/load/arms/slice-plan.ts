import type {ServiceWorkload} from './service-workload.js';

/** One slice of load on an arm. */
export type SlicePlan = {
	/** Determines arrivals, service times and slow times; equal for all arms of a round. */
	readonly seed: number;
	readonly durationMs: number;
	readonly workloads: readonly ServiceWorkload[];
	/** Demand as a share of what the slots can carry. */
	readonly load: number;
	/** Share by which the demand swings; that of all arms when undefined. */
	readonly swing?: number;
	/** Factor of the demand during a crest; 1 for none. */
	readonly crestFactor?: number;
	readonly crestEveryMs?: number;
	readonly crestMs?: number;
};
