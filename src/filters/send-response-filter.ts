import {writeProblem} from '../io/write-problem.js';
import {stripHopHeaders} from './strip-hop-headers.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Writes the target's response, or the problem document of an error, to the caller. */
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
				// A caller that reads until the connection closes can tell a truncated response from a complete one only by a connection reset.
				response.socket?.resetAndDestroy();
			}
		});
		await body.pipeTo(response);
		return result;
	}
}
