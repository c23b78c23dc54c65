import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Records a span for each attempt, from its dispatch to the end of the response. */
export class TraceAttemptFilter implements Filter {
	get name(): string {
		return 'trace-try';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const parent = context.span;
		if (parent?.isRecorded !== true) {
			return next(context);
		}

		const span = parent.startChild('rattansill.try');
		context.span = span;
		span.setField('rattansill.target', context.lease?.target.id ?? '');
		span.setField('rattansill.attempt', context.attempt);
		const result = await next(context);
		context.span = parent;
		if (result.isErr()) {
			span.end(result.error.kind);
			return result;
		}

		const {status, body} = result.value;
		span.setField('http.response.status_code', status);
		if (body.isComplete) {
			span.end();
		} else {
			body.onSettled(isComplete => {
				span.end(isComplete ? undefined : 'answer-cut');
			});
		}

		return result;
	}
}
