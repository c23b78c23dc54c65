import type {ServiceWorkload} from './service-workload.js';

/** A time slice of load on an arm. */
export type SlicePlan = {
	/** Seed of the arrivals, service times and slow episodes; the same for all arms of a round. */
	readonly seed: number;
	readonly durationMs: number;
	readonly workloads: readonly ServiceWorkload[];
	/** Demand as a fraction of the capacity. */
	readonly load: number;
	/** Amplitude of the demand's swing, as a fraction of its mean; `workloadParameters.swing` when undefined. */
	readonly swing?: number;
	/** Factor applied to the demand during a crest; 1 for none. */
	readonly crestFactor?: number;
	readonly crestEveryMs?: number;
	readonly crestMs?: number;
};
