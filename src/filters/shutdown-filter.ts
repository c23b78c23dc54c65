import type {ShutdownController} from '../controllers/shutdown-controller.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Lets a planned stop know of every request in flight, until its answer is with the caller. */
export class ShutdownFilter implements Filter {
	constructor(private readonly _shutdown: ShutdownController) {}

	get name(): string {
		return 'shutdown';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const {response} = context;
		const exchange = {
			closeAfterAnswer() {
				response.shouldKeepAlive = false;
			},
			abort(reason: Parameters<RequestContext['abort']>[0]) {
				context.abort(reason);
			},
		};
		this._shutdown.addExchange(exchange);
		response.once('close', () => {
			this._shutdown.removeExchange(exchange);
		});
		return next(context);
	}
}
