import type {RequestKind} from '../callers/request-kind.js';

/** The request mix of a service and its capacity. */
export type ServiceWorkload = {
	readonly service: string;
	/** Total number of slots of all its targets. */
	readonly slots: number;
	readonly kinds: readonly RequestKind[];
	/** Capacity of the slots for this mix, in requests per second, reduced by the slow episodes of the targets. */
	readonly capacityPerSecond: number;
};
