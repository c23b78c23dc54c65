import type {RequestClass} from './request-class.js';
import type {RequestSize} from './request-size.js';
import type {ServiceSpec} from './service-spec.js';

/** Requirements of a request for a slot. */
export type SlotDemand = {
	readonly service: ServiceSpec;
	/** Name of the rule that classified the request. */
	readonly rule: string;
	readonly requestClass: RequestClass;
	readonly size: RequestSize;
	readonly idempotent: boolean;
	/** Time by which the response must be complete, by the instance's clock, in ms. */
	readonly deadlineAt: number;
	/** Bytes that are buffered for the request while it is queued. */
	readonly heldBytes: number;
	/** Number of the attempt, starting at 0. */
	readonly attempt: number;
	/** Ids of targets that must not be used again for this request. */
	readonly excludedTargets: readonly string[];
	/** Aborts the wait when the caller disconnects. */
	readonly signal: AbortSignal | undefined;
};
