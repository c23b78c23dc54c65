import {HeaderName} from '../common/header-names.js';
import type {RequestTracer} from '../common/request-tracer.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Records a span from the arrival of the request head to the end of the response. */
export class TraceFilter implements Filter {
	constructor(private readonly _tracer: RequestTracer) {}

	get name(): string {
		return 'trace';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const {headers} = context.request;
		const state = headers[HeaderName.TraceState];
		const span = this._tracer.startRequest(headers[HeaderName.TraceParent] as string | undefined, state === undefined ? undefined : String(state));
		context.span = span;
		const result = await next(context);
		if (span.isRecorded) {
			span.setField('http.request.method', context.request.method ?? '');
			span.setField('http.response.status_code', context.response.statusCode);
			span.setField('rattansill.service', context.service?.name ?? '');
			span.setField('rattansill.rule', context.rule?.name ?? '');
			span.setField('rattansill.outcome', result.isErr() ? result.error.outcome : context.ledger.outcome);
		}

		span.end(result.isErr() ? result.error.kind : undefined);
		return result;
	}
}
