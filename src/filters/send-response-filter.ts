import {stripHopHeaders} from './strip-hop-headers.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';
import {writeProblem} from './write-problem.js';

/** Writes the answer, or the problem document of an error, to the caller. */
export class SendResponseFilter implements Filter {
	get name(): string {
		return 'answer';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const result = await next(context);
		const {response} = context;
		if (result.isErr()) {
			writeProblem(context, result.error);
			return result;
		}

		const {body, status, rawHeaders} = result.value;
		response.writeHead(status, stripHopHeaders(rawHeaders));
		body.onSettled(isComplete => {
			if (!isComplete) {
				// To a caller that reads until the connection closes, only a reset tells a cut answer from a whole one.
				response.socket?.resetAndDestroy();
			}
		});
		await body.pipeTo(response);
		return result;
	}
}
