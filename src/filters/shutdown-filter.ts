import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Result} from 'neverthrow';
import type {RequestError} from '../common/request-error.js';
import type {CallerConnections} from '../controllers/caller-connections.js';
import type {ShutdownController} from '../controllers/shutdown-controller.js';
import type {TargetResponse} from '../io/target-response.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';

type AbortableContext = {readonly request: IncomingMessage; readonly response: ServerResponse; abort(reason: RequestError): void};

type ShutdownFilterOptions = {
	readonly shutdown: ShutdownController;
	readonly connections: CallerConnections;
};

/** Registers every request in flight with the shutdown controller until its response is sent or its connection is closed. */
export class ShutdownFilter<Context extends AbortableContext = RequestContext, ChainResponse = TargetResponse> implements Filter<Context, ChainResponse> {
	constructor(private readonly _options: ShutdownFilterOptions) {}

	get name(): string {
		return 'shutdown';
	}

	async handleRequest(context: Context, next: (context: Context) => Promise<Result<ChainResponse, RequestError>>): Promise<Result<ChainResponse, RequestError>> {
		const {shutdown, connections} = this._options;
		const exchange = {
			closeAfterResponse() {
				connections.closeAfterLast(context);
			},
			abort(reason: RequestError) {
				context.abort(reason);
			},
		};
		shutdown.addExchange(exchange);
		connections.onceEnded(context, () => {
			shutdown.removeExchange(exchange);
		});
		return next(context);
	}
}
