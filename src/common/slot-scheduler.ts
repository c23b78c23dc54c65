import type {Result} from 'neverthrow';
import type {RequestError} from './request-error.js';
import type {SlotDemand} from './slot-demand.js';
import type {SlotLease} from './slot-lease.js';

/** Decides when and at which target a request runs. */
export type SlotScheduler = {
	/** Waits until a slot is believed free; refuses with an error kind whose outcome is not run. */
	acquireSlot(demand: SlotDemand): Promise<Result<SlotLease, RequestError>>;
	/** Takes a slot at once if one is believed free, else undefined; used for hedges. */
	tryAcquireSlot(demand: SlotDemand): SlotLease | undefined;
};
