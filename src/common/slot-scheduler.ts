import type {Result} from 'neverthrow';
import type {RequestError} from './request-error.js';
import type {SlotDemand} from './slot-demand.js';
import type {SlotLease} from './slot-lease.js';

/** Decides when and at which target a request runs. */
export type SlotScheduler = {
	/** Waits until a slot is expected to be free; the outcome of every error is "not run". */
	acquireSlot(demand: SlotDemand): Promise<Result<SlotLease, RequestError>>;
	/** Takes a slot if one is expected to be free, without waiting; returns undefined otherwise. Used for hedging. */
	tryAcquireSlot(demand: SlotDemand): SlotLease | undefined;
};
