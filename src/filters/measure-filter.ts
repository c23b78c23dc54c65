import type {Clock} from '../common/clock.js';
import type {Metrics} from '../common/metrics.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Counts requests and measures the time from the arrival of the request head to the end of the response. */
export class MeasureFilter implements Filter {
	constructor(private readonly _metrics: Metrics, private readonly _clock: Clock) {}

	get name(): string {
		return 'measure';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const result = await next(context);
		const tags = {
			service: context.service?.name ?? 'none',
			class: context.rule?.class ?? 'none',
			outcome: result.isErr() ? result.error.outcome : context.ledger.outcome,
		};
		this._metrics.countEvent('request.count', {...tags, error: result.isErr() ? result.error.kind : 'none'});
		this._metrics.recordDuration('request.duration', this._clock.now() - context.receivedAt, tags);
		return result;
	}
}
