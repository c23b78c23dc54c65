import type {ServerResponse} from 'node:http';
import type {Result} from 'neverthrow';
import type {RequestError} from '../common/request-error.js';
import type {ShutdownController} from '../controllers/shutdown-controller.js';
import type {TargetResponse} from '../io/target-response.js';
import type {Filter} from './filter.js';
import type {RequestContext} from './request-context.js';

type AbortableContext = {readonly response: ServerResponse; abort(reason: RequestError): void};

/** Registers every request in flight with the shutdown controller until its response is sent or its connection is closed. */
export class ShutdownFilter<Context extends AbortableContext = RequestContext, ChainResponse = TargetResponse> implements Filter<Context, ChainResponse> {
	constructor(private readonly _shutdown: ShutdownController) {}

	get name(): string {
		return 'shutdown';
	}

	async handleRequest(context: Context, next: (context: Context) => Promise<Result<ChainResponse, RequestError>>): Promise<Result<ChainResponse, RequestError>> {
		const {response} = context;
		const exchange = {
			closeAfterResponse() {
				response.shouldKeepAlive = false;
			},
			abort(reason: RequestError) {
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
