import {err} from 'neverthrow';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import type {CallerConnections} from '../../controllers/caller-connections.js';
import {maxPipelinedRequests} from '../../policy/max-pipelined-requests.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

/** Refuses a request while too many others are in progress on its connection, since their responses are held until it is their turn. */
export class PipelineFilter implements GatewayFilter {
	constructor(private readonly _connections: Pick<CallerConnections, 'countOpen'>) {}

	get name(): string {
		return 'pipeline';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		return this._connections.countOpen(context.request.socket) > maxPipelinedRequests
			? err(new RequestError(ErrorKind.QueueFull, `more than ${maxPipelinedRequests} requests are in progress on this connection`))
			: next(context);
	}
}
