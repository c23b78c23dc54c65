import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

type MeasureOptions = {
	readonly metrics: Metrics;
	readonly clock: Clock;
};

const statusClassSize = 100;

/** Counts requests and measures the time from the arrival of the request head to the response. */
export class MeasureFilter implements GatewayFilter {
	constructor(private readonly _options: MeasureOptions) {}

	get name(): string {
		return 'measure';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		const {metrics, clock} = this._options;
		const result = await next(context);
		const tags = {service: context.service === '' ? 'none' : context.service, outcome: result.isErr() ? result.error.outcome : context.ledger.outcome};
		// There are few error kinds and status classes, so the number of series stays bounded.
		const responseClass = result.isErr() ? result.error.kind : `${Math.floor(result.value.status / statusClassSize)}xx`;
		metrics.countEvent('request.count', {...tags, answer: responseClass});
		metrics.recordDuration('request.duration', clock.now() - context.receivedAt, tags);
		return result;
	}
}
