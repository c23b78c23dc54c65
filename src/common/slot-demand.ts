import type {RequestClass} from './request-class.js';
import type {RequestSize} from './request-size.js';
import type {ServiceSpec} from './service-spec.js';

/** What a request asks of the scheduler. */
export type SlotDemand = {
	readonly service: ServiceSpec;
	/** Name of the rule that classified the request. */
	readonly rule: string;
	readonly requestClass: RequestClass;
	readonly size: RequestSize;
	readonly idempotent: boolean;
	/** Point in time by which the answer must be whole, on the instance's clock, in ms. */
	readonly deadlineAt: number;
	/** Bytes that the request holds while it waits. */
	readonly heldBytes: number;
	/** Number of the try, first is 0. */
	readonly attempt: number;
	/** Targets not to use again for this request. */
	readonly excludedTargets: readonly string[];
	/** Aborts the wait when the caller has gone. */
	readonly signal: AbortSignal | undefined;
};
