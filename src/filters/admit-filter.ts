import {err} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {SlotScheduler} from '../common/slot-scheduler.js';
import {createSlotDemand} from './create-slot-demand.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Queues the request until the scheduler grants it a slot of a target. */
export class AdmitFilter implements Filter {
	constructor(private readonly _scheduler: SlotScheduler) {}

	get name(): string {
		return 'admit';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const demand = createSlotDemand(context);
		if (demand === undefined) {
			return err(new RequestError(ErrorKind.InternalQueued, 'the request was not classified'));
		}

		const leaseResult = await this._scheduler.acquireSlot(demand);
		if (leaseResult.isErr()) {
			return err(leaseResult.error);
		}

		context.lease = leaseResult.value;
		return next(context);
	}
}
