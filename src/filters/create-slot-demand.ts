import type {SlotDemand} from '../common/slot-demand.js';
import type {RequestContext} from './request-context.js';

/** Describes to the scheduler the slot that an attempt needs; undefined if the request was not classified. */
export const createSlotDemand = (context: RequestContext): SlotDemand | undefined => {
	const {service, rule} = context;
	return service === undefined || rule === undefined
		? undefined
		: {
			service,
			rule: rule.name,
			requestClass: rule.class,
			size: rule.size,
			idempotent: rule.idempotent,
			deadlineAt: context.deadlineAt,
			heldBytes: 0,
			attempt: context.attempt,
			excludedTargets: context.excludedTargets,
			signal: context.signal,
		};
};
